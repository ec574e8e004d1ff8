package fleet

import (
	"fmt"
	"strings"
	"time"
)

// bootVariable is the environment variable with the path of the settings file.
const bootVariable = "MULLEINMAST_BOOT"

const usualOpenFiles = 4100

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return "[" + strings.Join(out, ",") + "]"
}

func ms(d time.Duration) int64   { return d.Milliseconds() }
func sec(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

// openFiles returns the open-file limit of a process.
func (f *Fleet) openFiles() int {
	if f.Files > 0 {
		return f.Files
	}
	return usualOpenFiles
}

// settingsText returns the text of a machine's settings file, including a field that no build
// knows.
func (f *Fleet) settingsText(m *Machine, first bool) string {
	var b strings.Builder
	line := func(how string, args ...any) { fmt.Fprintf(&b, how+"\n", args...) }
	line("node-name = %q\nrole = \"mulleinmast\"\nmachine-class = \"front\"\nserves = [\"front\",\"control\"]", m.Name)
	line("ip-address = %q\nzone = %q\nregion = \"one\"\ninternal-ports = [%d,%d]", m.IP, m.Zone, firstPort, lastPort)
	line("seed-nodes = %s\nis-first-start = %v\ncounts-loss = %v", quoted(m.seeds), first, m.Core)
	if m.Core {
		line("data-folder = %q", f.dataFolder(m))
	}
	line("discovered-by = \"cloud_api\"\nentry-kind = \"shared_address\"\nbeat-every-ms = 1200\nnew-field = {a = 1}")
	line("rules-in-force = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"places\",\"tenants\",\"quota\"]")
	line("[zones]")
	for _, z := range f.Zones {
		line("%s = \"one\"", z)
	}
	line("[listen-on]\npublic-http = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol-addr = \"%s:%d\"", m.IP, publicPort, m.IP, readinessPort, m.IP, controlPort)
	line("[limits]\ncpu-share = 0.7\ncore-count = 1\nmemory-mb = 284\nopen-files = %d\nnetwork-mbps = 1000.0\ndisk-mb = 64", f.openFiles())
	line("[survive]\nmachine-losses = 1\nzones = 1\nregion-losses = 0")
	t := f.Bounds
	line("[time-limits]\nseed-delay-s = 3\nreuse-s = 2\nin-touch-ms = %d\nack-within-ms = %d\ncatch-up-s = 4\ndrain-ms = %d\ngrace-period-s = %s\nlost-slack-ms = %d\napply-ms = %d\ngo-back-ms = %d\nstretch-ms = 5000",
		ms(t.InTouch), ms(f.Ack), ms(t.Drain), sec(t.Grace), ms(t.LostSlack), ms(t.Apply), ms(t.GoBack))
	line("retry-ratio = %v\nretry-window-s = %s\nretry-slack = %d\ncold-overrun = %v\ncold-slack = %v\nevacuate-ms = %d\nrecovery-s = %s\ntransit-ms = 120\nchecks-fence = %v\nlease-length-ms = %d\nthaw-slack-ms = 300",
		t.RetryRatio, sec(t.RetryWindow), t.RetrySlack, t.ColdOverrun, t.ColdSlack, ms(t.Evacuate), sec(t.Recovery), t.ChecksFence, ms(t.Lease))
	line("revoked-fail = false\nrevoke-within-ms = 5000\nquota-window-s = %s\nquota-overrun = %v\nquota-slack = %v",
		sec(t.QuotaWindow), t.QuotaOverrun, t.QuotaSlack)
	line("[cloud-api]\naddress = %q\nrate-per-s = %v\nduties = []\nmax-lag-ms = %d", f.Cloud, f.Rate, ms(f.Lag))
	return b.String()
}
