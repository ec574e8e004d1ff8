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

// debianName is what Debian's policy allows as a package's name.
var debianName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// deployPackages reads the packages that the deploy file lists.
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

func TestDeployListsPackagesByName(t *testing.T) {
	packages := deployPackages(t)
	if len(packages) == 0 {
		t.Fatal("deploy/system.toml lists no packages")
	}
	if !slices.IsSorted(packages) || len(slices.Compact(slices.Clone(packages))) != len(packages) {
		t.Errorf("%v: not in order, or one stands twice", packages)
	}
	for _, name := range packages {
		if !debianName.MatchString(name) {
			t.Errorf("%q is no name of a Debian package", name)
		}
	}
}

// stubs stand in for what .ci/run calls: nothing counts as installed but what
// INSTALLED names, and each call of apt-get is noted.
var stubs = map[string]string{
	"bin/dpkg-query": "#!/bin/sh\nfor name; do :; done\ncase \" $INSTALLED \" in *\" $name \"*) echo installed;; *) exit 1;; esac\n",
	"bin/apt-get":    "#!/bin/sh\necho \"$@\" >> apt.log\n",
	"bin/go":         "#!/bin/sh\n",
	"test.sh":        "#!/bin/sh\necho ran >> test.log\n",
}

// runCI runs the real .ci/run over the real deploy file, among the stubs, and
// tells what it had apt-get install and whether it went on to the tests.
func runCI(t *testing.T, installed string) (asked []string, tested bool) {
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
			t.Errorf("%q takes in packages that nobody lists", line)
		}
		for _, word := range words[1:] {
			if !strings.HasPrefix(word, "-") {
				asked = append(asked, word)
			}
		}
	}
	_, err = os.Stat(filepath.Join(dir, "test.log"))
	return asked, err == nil
}

func TestCIInstallsExactlyWhatDeployLists(t *testing.T) {
	listed := deployPackages(t)
	if asked, tested := runCI(t, ""); !slices.Equal(asked, listed) || !tested {
		t.Errorf("on a bare machine: installed %v of %v, ran the tests: %v", asked, listed, tested)
	}
	if asked, tested := runCI(t, strings.Join(listed[1:], " ")); !slices.Equal(asked, listed[:1]) || !tested {
		t.Errorf("with one missing: installed %v instead of %v, ran the tests: %v", asked, listed[:1], tested)
	}
	if asked, tested := runCI(t, strings.Join(listed, " ")); len(asked) > 0 || !tested {
		t.Errorf("with all there: installed %v, ran the tests: %v", asked, tested)
	}
}
