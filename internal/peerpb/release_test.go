package peerpb

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

// writeFlag writes the messages of this release, which each landing keeps under its commit.
var writeFlag = flag.String("peerpb.write", "", "`NAME` under which the messages of this release are written to testdata")

// maxDepth bounds messages in messages.
const maxDepth = 3

// enums returns all enumerations by their names, those in messages as "MESSAGE.NAME".
func enums() map[string]protoreflect.EnumDescriptor {
	byName := make(map[string]protoreflect.EnumDescriptor)
	add := func(prefix string, list protoreflect.EnumDescriptors) {
		for i := range list.Len() {
			byName[prefix+string(list.Get(i).Name())] = list.Get(i)
		}
	}
	add("", File_peer_proto.Enums())
	for i := range File_peer_proto.Messages().Len() {
		message := File_peer_proto.Messages().Get(i)
		add(string(message.Name())+".", message.Enums())
	}
	return byName
}

// describe returns a line for each value of all enumerations and each field of all messages, and one with a filled message of each.
func describe() string {
	var text strings.Builder
	byName := enums()
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		for i := range byName[name].Values().Len() {
			value := byName[name].Values().Get(i)
			fmt.Fprintf(&text, "enum %s %d %s\n", name, value.Number(), value.Name())
		}
	}
	messages := File_peer_proto.Messages()
	for i := range messages.Len() {
		message := messages.Get(i)
		for j := range message.Fields().Len() {
			field := message.Fields().Get(j)
			fmt.Fprintf(&text, "field %s %d %s %s %s %s\n", message.Name(), field.Number(), field.Name(), field.Kind(), field.Cardinality(), typeName(field))
		}
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(filled(message, 0))
		if err != nil {
			panic(err) // A message that the test has filled itself.
		}
		fmt.Fprintf(&text, "bytes %s %s\n", message.Name(), hex.EncodeToString(encoded))
	}
	return text.String()
}

// typeName returns the name of the message or enum type of a field, "-" for another kind.
func typeName(field protoreflect.FieldDescriptor) string {
	switch {
	case field.Message() != nil:
		return string(field.Message().Name())
	case field.Enum() != nil:
		return string(field.Enum().Name())
	default:
		return "-"
	}
}

// filled returns a message whose fields all have a value that is not zero.
func filled(descriptor protoreflect.MessageDescriptor, depth int) *dynamicpb.Message {
	message := dynamicpb.NewMessage(descriptor)
	for i := range descriptor.Fields().Len() {
		field := descriptor.Fields().Get(i)
		if field.IsMap() || field.Message() != nil && depth == maxDepth {
			continue
		}
		if field.IsList() {
			message.Mutable(field).List().Append(valueOf(field, depth))
			continue
		}
		message.Set(field, valueOf(field, depth))
	}
	return message
}

func valueOf(field protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	number := int(field.Number())
	switch field.Kind() {
	case protoreflect.MessageKind:
		return protoreflect.ValueOfMessage(filled(field.Message(), depth+1))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(field.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(field.Name()))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number))
	default:
		return protoreflect.ValueOfFloat64(float64(number))
	}
}

// checkField returns what is wrong with a field of a former release in this one, or "". The words are those of a line of describe.
func checkField(words []string) string {
	message := File_peer_proto.Messages().ByName(protoreflect.Name(words[0]))
	if message == nil {
		return "the message is gone"
	}
	var number protoreflect.FieldNumber
	if _, err := fmt.Sscan(words[1], &number); err != nil {
		return err.Error()
	}
	field := message.Fields().ByNumber(number)
	if field == nil {
		if message.ReservedRanges().Has(number) {
			return ""
		}
		return "the field is gone and its number is not reserved"
	}
	now := fmt.Sprintf("%s %s %s %s", field.Name(), field.Kind(), field.Cardinality(), typeName(field))
	if former := strings.Join(words[2:], " "); now != former {
		return fmt.Sprintf("the number had %q and has %q now", former, now)
	}
	return ""
}

// checkEnum returns what is wrong with a value of an enumeration of a former release in this one, or "". The words are those of a line of
// describe.
func checkEnum(words []string) string {
	descriptor := enums()[words[0]]
	if descriptor == nil {
		return "the enumeration is gone"
	}
	var number protoreflect.EnumNumber
	if _, err := fmt.Sscan(words[1], &number); err != nil {
		return err.Error()
	}
	value := descriptor.Values().ByNumber(number)
	switch {
	case value == nil && descriptor.ReservedRanges().Has(number):
		return ""
	case value == nil:
		return "the value is gone and its number is not reserved"
	case string(value.Name()) != words[2]:
		return fmt.Sprintf("the number was %s and is %s now", words[2], value.Name())
	}
	return ""
}

// checkBytes returns what is wrong with the way in which this release reads and writes the bytes of a former one, or "".
func checkBytes(name, text string) string {
	former, err := hex.DecodeString(text)
	if err != nil {
		return err.Error()
	}
	descriptor := File_peer_proto.Messages().ByName(protoreflect.Name(name))
	if descriptor == nil {
		return "the message is gone"
	}
	message := dynamicpb.NewMessage(descriptor)
	if err := proto.Unmarshal(former, message); err != nil {
		return err.Error()
	}
	now, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return err.Error()
	}
	if !bytes.Equal(now, former) {
		return "what is read is written otherwise"
	}
	return ""
}

// TestMessagesOfFormerReleases guards against a field number, a type or a value of a landed release that is changed or used again: instances of two releases
// run side by side during an upgrade.
func TestMessagesOfFormerReleases(t *testing.T) {
	if *writeFlag != "" {
		if err := os.WriteFile(filepath.Join("testdata", *writeFlag+".txt"), []byte(describe()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob(filepath.Join("testdata", "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no messages of former releases: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			words := strings.Fields(line)
			problem := ""
			switch {
			case len(words) == 7 && words[0] == "field":
				problem = checkField(words[1:])
			case len(words) == 4 && words[0] == "enum":
				problem = checkEnum(words[1:])
			case len(words) == 3 && words[0] == "bytes":
				problem = checkBytes(words[1], words[2])
			case len(words) == 2 && words[0] == "bytes": // A message without fields.
			default:
				problem = "the line cannot be read"
			}
			if problem != "" {
				t.Errorf("%s: %s: %s", file, strings.TrimSpace(line), problem)
			}
		}
	}
}

// TestChangedFieldIsFound guards against a check of former releases that finds nothing.
func TestChangedFieldIsFound(t *testing.T) {
	for _, words := range []string{
		"PullRequest 1 after string optional -",    // another type
		"PullRequest 2 epoch uint64 optional -",    // another name
		"PullRequest 99 gone uint64 optional -",    // gone, not reserved
		"NoSuchMessage 1 field uint64 optional -",  // no such message
		"PullRequest 4 offered message optional -", // once instead of several times
	} {
		if checkField(strings.Fields(words)) == "" {
			t.Errorf("%s is not found", words)
		}
	}
	if problem := checkField(strings.Fields("PullResponse 8 former uint64 optional -")); problem != "" {
		t.Errorf("a reserved number: %s", problem)
	}
}

// TestChangedEnumIsFound guards against the same for the values of enumerations.
func TestChangedEnumIsFound(t *testing.T) {
	for _, words := range []string{
		"Datagram.Kind 1 KIND_ACK",       // another name
		"Datagram.Kind 99 KIND_GONE",     // gone, not reserved
		"NoSuchEnum 1 VALUE",             // no such enumeration
		"Datagram.Kind number KIND_PUSH", // no number
	} {
		if checkEnum(strings.Fields(words)) == "" {
			t.Errorf("%s: no problem found", words)
		}
	}
}
