package daemon

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// validFlags are the flags that a daemon requires.
var validFlags = []string{
	"-wire", "10.0.0.1:7000", "-web", "10.0.0.1:8000",
	"-seeds", "10.0.0.1:7000,10.0.0.2:7000,10.0.0.3:7000",
}

// readFlags parses the valid flags followed by additional flags.
func readFlags(more ...string) (Config, error) {
	return ReadConfig("mulleinmast", slices.Concat(validFlags, more), io.Discard)
}

func TestConfigFaultsAreReportedTogether(t *testing.T) {
	if _, err := readFlags(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		want string
		more []string
	}{
		{"web:", []string{"-web", "localhost"}},
		{"both are", []string{"-web", "10.0.0.1:7000"}},
		{"stands twice", []string{"-seeds", "10.0.0.1:7000,10.0.0.1:7000,10.0.0.3:7000"}},
		{"one to three", []string{"-seeds", "10.0.0.1:7000,10.0.0.2:7000,10.0.0.3:7000,10.0.0.4:7000"}},
		{"losses:", []string{"-losses", "9"}},
		{"wildcard", []string{"-wire", "0.0.0.0:7000"}},
		{"zone:", []string{"-zone", "a b"}},
		{"partitions:", []string{"-partitions", "0"}},
		{"is not a flag", []string{"stray"}},
		{"no such file", []string{"-config", "/nowhere/c.json"}},
	} {
		t.Run(c.want, func(t *testing.T) {
			if _, err := readFlags(c.more...); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v: %v", c.more, err)
			}
		})
	}
	if _, err := ReadConfig("mulleinmast", nil, io.Discard); err == nil || strings.Count(err.Error(), "\n") < 2 {
		t.Errorf("several faults in one config: %v", err)
	}
}

func TestFlagsOverrideConfigFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"wire":"10.0.0.9:7000","zone":"north","bound_plan":"4s","bound_leave":"6s"}`)
	cfg, err := readFlags("-config", path)
	if err != nil || cfg.WireAddr != "10.0.0.1:7000" || cfg.Zone != "north" || cfg.VolumeLease().Milliseconds() != 1600 {
		t.Errorf("file and flags: %+v %v", cfg, err)
	}
	write(`{"wier":"x","bound_plan":"soon"}`)
	if _, err := readFlags("-config", path); err == nil || !strings.Contains(err.Error(), "wier") {
		t.Errorf("unknown field: %v", err)
	}
}
