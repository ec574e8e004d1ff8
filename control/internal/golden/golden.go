// Package golden holds stored bytes and those sent between daemons to what an earlier
// build made of the same values: the files in a package's testdata.
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

// writeVariable is the variable that has missing files written. A file that is there
// stays as it is: a new form of the bytes is a new file beside the old one, which must
// be read still.
const writeVariable = "WRITE_GOLDEN"

// Encoding is how the values of a type become bytes and are read back.
type Encoding[T any] struct {
	Encode func(T) ([]byte, error)
	Decode func([]byte) (T, error) // nil: the bytes are only written
}

// JSON is the encoding of a type by encoding/json.
//
// Example: golden.Check(t, "response.json", response, golden.JSON[leadercall.Word]())
func JSON[T any]() Encoding[T] {
	return Encoding[T]{
		Encode: func(value T) ([]byte, error) { return json.Marshal(value) },
		Decode: func(data []byte) (value T, err error) { return value, json.Unmarshal(data, &value) },
	}
}

// Check compares a value that has every field set with a file of testdata, both ways: the value is encoded
// to the file's bytes, and these are decoded to the value.
//
// Example: golden.Check(t, "zones.json", zones, encoding)
func Check[T any](t *testing.T, name string, value T, encoding Encoding[T]) {
	t.Helper()
	checkAllSet(t, name, reflect.ValueOf(value))
	CheckEarlier(t, name, value, encoding)
}

// CheckEarlier is Check for a value of an earlier build, which had fewer fields: what that
// build wrote is written still where the later fields are unset. The same type with every
// field set has a file of its own.
//
// Example: golden.CheckEarlier(t, "zones.json", zonesOfFirstBuild, encoding)
func CheckEarlier[T any](t *testing.T, name string, value T, encoding Encoding[T]) {
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
		t.Errorf("%s is read as another value (%v):\n%+v\nexpected\n%+v", name, err, decoded, value)
	}
}

// Bytes compares bytes with a file of testdata, which it returns.
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
		t.Errorf("%s: the bytes are now\n%q\nand were\n%q", name, encoded, stored)
	}
	return stored
}

// checkAllSet reports each field of a value that is unset: its name would not stand in the bytes.
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
