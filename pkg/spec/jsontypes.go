package spec

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// checkType returns an error for each unknown field and each value of the wrong JSON type, so that one run reports all
// of them; encoding/json alone stops at the first unknown field. A null counts as an absent field.
func checkType(value any, want reflect.Type, path string) ValidationErrors {
	if value == nil {
		return nil
	}
	switch want.Kind() {
	case reflect.Struct:
		return checkObject(value, want, path)
	case reflect.Slice:
		return checkArray(value, want, path)
	case reflect.String:
		if _, ok := value.(string); !ok {
			return ValidationErrors{{path: path, rule: "must be a string"}}
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			return ValidationErrors{{path: path, rule: "must be true or false"}}
		}
	default:
		return checkNumber(value, want, path)
	}
	return nil
}

func checkObject(value any, want reflect.Type, path string) ValidationErrors {
	object, ok := value.(map[string]any)
	if !ok {
		return ValidationErrors{{path: path, rule: "must be an object"}}
	}
	fields := make(map[string]reflect.Type, want.NumField())
	for i := range want.NumField() {
		name, _, _ := strings.Cut(want.Field(i).Tag.Get("json"), ",")
		fields[name] = want.Field(i).Type
	}
	var errs ValidationErrors
	for _, name := range slices.Sorted(maps.Keys(object)) {
		fieldPath := joinPath(path, name)
		field, known := fields[name]
		if !known {
			errs = append(errs, ValidationError{path: fieldPath, rule: "is not a known field"})
			continue
		}
		errs = append(errs, checkType(object[name], field, fieldPath)...)
	}
	return errs
}

func checkArray(value any, want reflect.Type, path string) ValidationErrors {
	array, ok := value.([]any)
	if !ok {
		return ValidationErrors{{path: path, rule: "must be an array"}}
	}
	var errs ValidationErrors
	for i, element := range array {
		errs = append(errs, checkType(element, want.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return errs
}

func checkNumber(value any, want reflect.Type, path string) ValidationErrors {
	number, ok := value.(json.Number)
	if !ok {
		return ValidationErrors{{path: path, rule: "must be a number"}}
	}
	target := reflect.New(want)
	if err := json.Unmarshal([]byte(number), target.Interface()); err != nil {
		return ValidationErrors{{path: path, rule: "must be a number in the range of " + want.Kind().String()}}
	}
	return nil
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
