package mulleinmast

import (
	"go/ast"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// mayImport lists, for each layer, the folders of this module that its packages and
// their tests may import. The longest entry that matches a package applies.
var mayImport = map[string][]string{
	"wire":     {"wire"},
	"control":  {"control", "wire"},
	"traffic":  {"traffic", "control", "wire"},
	"platform": {"platform", "traffic", "control", "wire"},
	"proof":    {"proof", "platform", "traffic", "control", "wire"},
	"cmd":      {"proof", "platform", "traffic", "control", "wire"},

	// Programs that run in production import no test code.
	"cmd/mulleinmast": {"platform", "traffic", "control", "wire"},
	"cmd/mulleinctl":  {"traffic", "control", "wire"},

	// Judges and stand-ins for the users' systems depend on the rules and formats, not
	// on the code under test. Only packages that start daemons may import their setup. How a
	// response is read is a format, and a broken one must not go unseen.
	"proof/judge":         {"proof/history"},
	"proof/history":       {},
	"proof/standin":       {"proof/standin", "proof/judge", "proof/history", "wire/httpresponse"},
	"proof/standin/fleet": {"proof/standin", "proof/track", "control/daemon", "wire/httpresponse"},
	"proof/standin/scene": {"proof/standin", "proof/track", "control/daemon", "control/fleetconfig", "wire/httpresponse"},
	"proof/standin/soak":  {"proof/standin", "proof/track", "wire/httpresponse"},
	"proof/knownred":      {},
}

// inside reports whether a package is in a folder or below it.
func inside(pkg, folder string) bool {
	return pkg == folder || strings.HasPrefix(pkg, folder+"/")
}

// layer returns the longest entry of mayImport that contains a package.
func layer(pkg string) string {
	longest := ""
	for folder := range mayImport {
		if inside(pkg, folder) && len(folder) > len(longest) {
			longest = folder
		}
	}
	return longest
}

// forbidden reports whether the layer of a package may not import another package.
func forbidden(pkg, imported string) bool {
	may, known := mayImport[layer(pkg)]
	return known && !slices.ContainsFunc(may, func(folder string) bool { return inside(imported, folder) })
}

func TestLayersImportOnlyAllowedPackages(t *testing.T) {
	for _, c := range []struct {
		pkg, imported string
		want          bool
	}{
		{"control/daemon", "traffic/serverpool", true},
		{"control/lease", "platform", true},
		{"wire/message", "control/clock", true},
		{"traffic/forward", "proof/judge", true},
		{"cmd/mulleinmast", "proof/sim", true},
		{"proof/standin/rules", "control/fleetconfig", true},
		{"proof/judge", "proof/sim", true},
		{"cmd/fleetlab", "proof/sim", false},
		{"control/leader", "control/lease", false},
	} {
		if got := forbidden(c.pkg, c.imported); got != c.want {
			t.Errorf("%s importing %s: forbidden returned %v", c.pkg, c.imported, got)
		}
	}
	layers := map[string]bool{}
	forEachGoFile(t, func(path string, _ []byte, file *ast.File) {
		pkg := filepath.ToSlash(filepath.Dir(path))
		layers[layer(pkg)] = true
		if pkg != "." && layer(pkg) == "" {
			t.Errorf("%s belongs to no layer", pkg)
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			if inner, ours := strings.CutPrefix(imported, "mulleinmast/"); ours && inner != pkg && forbidden(pkg, inner) {
				t.Errorf("%s: layer %s may not import %s", path, layer(pkg), inner)
			}
		}
	})
	for folder := range mayImport {
		if !layers[folder] {
			t.Errorf("mayImport lists %s, which contains no package", folder)
		}
	}
}
