package daemon

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestConfigFaultsAreNamedAtOnce(t *testing.T) {
	read := func(args ...string) error {
		_, err := ReadConfig("mulleinmast", args, io.Discard)
		return err
	}
	ok := []string{"-wire", "10.0.0.1:7000", "-web", "10.0.0.1:8000", "-seeds", "10.0.0.1:7000,10.0.0.2:7000,10.0.0.3:7000"}
	if err := read(ok...); err != nil {
		t.Fatal(err)
	}
	for want, more := range map[string][]string{
		"web:":          {"-web", "localhost"},
		"both are":      {"-web", "10.0.0.1:7000"},
		"stands twice":  {"-seeds", "10.0.0.1:7000,10.0.0.1:7000,10.0.0.3:7000"},
		"one to three":  {"-seeds", "10.0.0.1:7000,10.0.0.2:7000,10.0.0.3:7000,10.0.0.4:7000"},
		"losses:":       {"-losses", "9"},
		"wildcard":      {"-wire", "0.0.0.0:7000"},
		"zone:":         {"-zone", "a b"},
		"partitions:":   {"-partitions", "0"},
		"is not a flag": {"stray"},
		"no such file":  {"-config", "/nowhere/c.json"},
	} {
		if err := read(append(append([]string(nil), ok...), more...)...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if err := read(); err == nil || strings.Count(err.Error(), "\n") < 2 {
		t.Errorf("several faults at once: %v", err)
	}
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(`{"wire":"10.0.0.9:7000","zone":"north","bound_plan":"4s"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := ReadConfig("mulleinmast", append(append([]string(nil), ok...), "-config", path), io.Discard)
	if err != nil || c.WireAddr != "10.0.0.1:7000" || c.Zone != "north" || c.VolumeLease().Milliseconds() != 1600 {
		t.Errorf("file and flags: %+v %v", c, err)
	}
	if err := os.WriteFile(path, []byte(`{"wier":"x","bound_plan":"soon"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := read(append(append([]string(nil), ok...), "-config", path)...); err == nil || !strings.Contains(err.Error(), "wier") {
		t.Errorf("unknown field: %v", err)
	}
}
