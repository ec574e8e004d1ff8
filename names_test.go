package mulleinmast

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformNames are names defined by the users' platform: headers, the environment
// variable that names its settings file, fields, words and paths. Only the code that
// talks to the platform, its stand-ins, their tests and the documentation use them.
var platformNames = []string{
	"x-mulleinmast", "mulleinmast_boot", "mulleinmast/settings",
	"config-version", "weighted-services", "service-name", "path-start", "host-name", "route-kind", "give-up-ms", "target-ms", "gap-target-ms", "stick-to-server", "can-resume",
	"health-path", "max-conns", "cold-per-s", "cold-left-ms", "cold-s\"", "memory-tokens", "token-bytes", "switch-time-s", "hold-s\"", "model-list",
	"slot-count", "server-state", "next-token", "page-token", "prompt-handle", "token-count", "kv-handle", "call-count", "fence-number",
	"node-name", "machine-class", "seed-nodes", "internal-ports", "is-first-start", "counts-loss", "data-folder", "listen-on", "public-http", "control-addr",
	"machine-losses", "time-limits", "in-touch-ms", "ack-within-ms", "drain-ms", "grace-period-s", "apply-ms", "evacuate-ms", "retry-window-s", "cloud-api",
	"/v1/evacuation", "/v1/config\"", "/v1/ready\"", "/v1/order\"", "/v1/report\"",
}

// mayUsePlatformNames lists the folders and files that may contain the platform's
// names. The source of the hollow fleets serves a server list in the platform's format.
var mayUsePlatformNames = []string{"platform/", "proof/standin/", "proof/hollow/source.go", "docs/", "journal/", "deploy/", "names_test.go"}

func TestPlatformNamesStayInPlatformCode(t *testing.T) {
	seen := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == ".git" || d.Name() == "target" || d.Name() == "testdata"):
			return fs.SkipDir
		case d.IsDir():
			return nil
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text, may := strings.ToLower(string(b)), false
		for _, s := range mayUsePlatformNames {
			may = may || strings.HasPrefix(path, s)
		}
		for _, name := range platformNames {
			if !strings.Contains(text, name) {
				continue
			}
			if strings.HasPrefix(path, "platform/") {
				seen[name] = true
			}
			if !may {
				t.Errorf("%s uses the platform's name %q", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(seen) < len(platformNames)*3/4 {
		t.Errorf("platform/ uses only %d of %d listed names: the list is out of date", len(seen), len(platformNames))
	}
}
