package spec

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checkShape returns a fault for each unknown field and each value of the wrong JSON type, so that one run reports
// all of them; encoding/json alone stops at the first unknown field. A null counts as an absent field.
func checkShape(value any, shape reflect.Type, path string) Faults {
	if value == nil {
		return nil
	}
	switch shape.Kind() {
	case reflect.Struct:
		return checkObject(value, shape, path)
	case reflect.Slice:
		return checkArray(value, shape, path)
	case reflect.String:
		if _, ok := value.(string); !ok {
			return Faults{{path: path, rule: "must be a string"}}
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			return Faults{{path: path, rule: "must be true or false"}}
		}
	default:
		return checkNumber(value, shape, path)
	}
	return nil
}

func checkObject(value any, shape reflect.Type, path string) Faults {
	object, ok := value.(map[string]any)
	if !ok {
		return Faults{{path: path, rule: "must be an object"}}
	}
	fields := make(map[string]reflect.Type, shape.NumField())
	for i := range shape.NumField() {
		name, _, _ := strings.Cut(shape.Field(i).Tag.Get("json"), ",")
		fields[name] = shape.Field(i).Type
	}
	var faults Faults
	for _, name := range slices.Sorted(maps.Keys(object)) {
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		if !known {
			faults = append(faults, Fault{path: fieldPath, rule: "is not a known field"})
			continue
		}
		faults = append(faults, checkShape(object[name], field, fieldPath)...)
	}
	return faults
}

func checkArray(value any, shape reflect.Type, path string) Faults {
	array, ok := value.([]any)
	if !ok {
		return Faults{{path: path, rule: "must be an array"}}
	}
	var faults Faults
	for i, element := range array {
		faults = append(faults, checkShape(element, shape.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return faults
}

func checkNumber(value any, shape reflect.Type, path string) Faults {
	number, ok := value.(json.Number)
	if !ok {
		return Faults{{path: path, rule: "must be a number"}}
	}
	target := reflect.New(shape)
	if err := json.Unmarshal([]byte(number), target.Interface()); err != nil {
		return Faults{{path: path, rule: "must be a number of the range of " + shape.Kind().String()}}
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
