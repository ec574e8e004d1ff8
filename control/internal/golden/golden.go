// Package golden compares encoded values, as stored or sent between daemons, with the bytes
// that an earlier build wrote for the same values: the files in a package's testdata.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
)

// writeVariable is the environment variable that enables writing missing files. Existing
// files are never overwritten: a new encoding gets an additional file, and the old one must
// still be readable.
const writeVariable = "WRITE_GOLDEN"

// Encoding encodes and decodes the values of a type.
type Encoding[T any] struct {
	Encode func(T) ([]byte, error)
	Decode func([]byte) (T, error) // nil: decoding isn't checked
}

// JSON returns the encoding of a type by encoding/json.
//
// Example: golden.Check(t, "response.json", response, golden.JSON[leadercall.Word]())
func JSON[T any]() Encoding[T] {
	return Encoding[T]{
		Encode: func(value T) ([]byte, error) { return json.Marshal(value) },
		Decode: func(data []byte) (value T, err error) { return value, json.Unmarshal(data, &value) },
	}
}

// Check compares a value with a file in testdata: the value must encode to the file's bytes,
// and these must decode to the value. It also checks that every field of the value is set.
//
// Example: golden.Check(t, "zones.json", zones, encoding)
func Check[T any](t *testing.T, name string, value T, encoding Encoding[T]) {
	t.Helper()
	checkAllSet(t, name, reflect.ValueOf(value))
	CheckPartial(t, name, value, encoding)
}

// CheckPartial is like Check for a value without the fields that were added after an earlier
// build: its encoding must still equal that build's. A value of the same type with every field
// set has a separate file.
//
// Example: golden.CheckPartial(t, "zones.json", zonesOfFirstBuild, encoding)
func CheckPartial[T any](t *testing.T, name string, value T, encoding Encoding[T]) {
	t.Helper()
	encoded, err := encoding.Encode(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	stored := Bytes(t, name, encoded)
	if encoding.Decode == nil {
		return
	}
	decoded, err := encoding.Decode(stored)
	if err != nil || !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to a different value (%v):\n%+v\nexpected\n%+v", name, err, decoded, value)
	}
}

// Bytes compares bytes with a file in testdata and returns the content of the file.
//
// Example: stored := golden.Bytes(t, "plan.bin", record)
func Bytes(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	stored, err := os.ReadFile(path)
	if os.IsNotExist(err) && os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		stored, err = encoded, os.WriteFile(path, encoded, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, stored) {
		t.Errorf("%s: the encoding is\n%q\nexpected\n%q", name, encoded, stored)
	}
	return stored
}

// checkAllSet reports an error for each unset field, since its name may be missing from the encoding.
func checkAllSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			checkAllSet(t, path, value.Elem())
		}
	case reflect.Slice:
		for i := range value.Len() {
			checkAllSet(t, path+"["+strconv.Itoa(i)+"]", value.Index(i))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if field.Tag.Get("json") == "-" {
				continue
			}
			if value.Field(i).IsZero() {
				t.Errorf("%s.%s is not set", path, field.Name)
			}
			checkAllSet(t, path+"."+field.Name, value.Field(i))
		}
	}
}
