package mulleinmast

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// debianName matches the package names that Debian's policy allows.
var debianName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// deployPackages returns the packages listed in deploy/system.toml.
func deployPackages(t *testing.T) []string {
	t.Helper()
	var file struct {
		Packages []string `toml:"packages"`
	}
	if _, err := toml.DecodeFile("deploy/system.toml", &file); err != nil {
		t.Fatal(err)
	}
	return file.Packages
}

func TestDeployListsValidPackageNames(t *testing.T) {
	packages := deployPackages(t)
	if len(packages) == 0 {
		t.Fatal("deploy/system.toml lists no packages")
	}
	if !slices.IsSorted(packages) || len(slices.Compact(slices.Clone(packages))) != len(packages) {
		t.Errorf("%v: not sorted, or a package is listed twice", packages)
	}
	for _, name := range packages {
		if !debianName.MatchString(name) {
			t.Errorf("%q is not a valid Debian package name", name)
		}
	}
}

// stubs replace the programs that .ci/run calls: only the packages named in
// INSTALLED count as installed, and each call of apt-get is logged.
var stubs = map[string]string{
	"bin/dpkg-query": "#!/bin/sh\nfor name; do :; done\ncase \" $INSTALLED \" in *\" $name \"*) echo installed;; *) exit 1;; esac\n",
	"bin/apt-get":    "#!/bin/sh\necho \"$@\" >> apt.log\n",
	"bin/go":         "#!/bin/sh\n",
	"test.sh":        "#!/bin/sh\necho ran >> test.log\n",
}

// runCI runs the real .ci/run with the real deploy file and the stubs. It returns
// the packages passed to apt-get install and whether the tests were started.
func runCI(t *testing.T, installed string) (requested []string, tested bool) {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{}
	for _, name := range []string{".ci/run", "deploy/system.toml"} {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		files[name] = string(b)
	}
	for name, text := range stubs {
		files[name] = text
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command("bash", filepath.Join(dir, ".ci/run"))
	cmd.Env = []string{"PATH=" + filepath.Join(dir, "bin") + ":/usr/bin:/bin", "INSTALLED=" + installed}
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	log, err := os.ReadFile(filepath.Join(dir, "apt.log"))
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(log)) {
		words := strings.Fields(line)
		if words[0] != "install" {
			continue
		}
		if !slices.Contains(words, "--no-install-recommends") {
			t.Errorf("%q also installs recommended packages, which are not listed", line)
		}
		for _, word := range words[1:] {
			if !strings.HasPrefix(word, "-") {
				requested = append(requested, word)
			}
		}
	}
	_, err = os.Stat(filepath.Join(dir, "test.log"))
	return requested, err == nil
}

func TestCIInstallsExactlyListedPackages(t *testing.T) {
	listed := deployPackages(t)
	if requested, tested := runCI(t, ""); !slices.Equal(requested, listed) || !tested {
		t.Errorf("no package present: installed %v, want %v; tests started: %v", requested, listed, tested)
	}
	if requested, tested := runCI(t, strings.Join(listed[1:], " ")); !slices.Equal(requested, listed[:1]) || !tested {
		t.Errorf("one package missing: installed %v, want %v; tests started: %v", requested, listed[:1], tested)
	}
	if requested, tested := runCI(t, strings.Join(listed, " ")); len(requested) > 0 || !tested {
		t.Errorf("all packages present: installed %v, want none; tests started: %v", requested, tested)
	}
}
