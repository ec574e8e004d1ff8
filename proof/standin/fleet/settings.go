package fleet

import (
	"fmt"
	"strings"
	"time"
)

// variable names the settings file to a process.
const variable = "MULLEINMAST_BOOT"

const usualFiles = 4100

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return "[" + strings.Join(out, ",") + "]"
}

func ms(d time.Duration) int64   { return d.Milliseconds() }
func sec(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

// files is how many descriptors a process has.
func (f *Fleet) files() int {
	if f.Files > 0 {
		return f.Files
	}
	return usualFiles
}

// text is a machine's settings, with a field that no build knows.
func (f *Fleet) text(m *Machine, first bool) string {
	var b strings.Builder
	say := func(how string, args ...any) { fmt.Fprintf(&b, how+"\n", args...) }
	say("node-name = %q\nrole = \"mulleinmast\"\nmachine-class = \"front\"\nserves = [\"front\",\"control\"]", m.Name)
	say("ip-address = %q\nzone = %q\nregion = \"one\"\ninternal-ports = [%d,%d]", m.IP, m.Zone, firstPort, lastPort)
	say("seed-nodes = %s\nis-first-start = %v\ncounts-loss = %v", quoted(m.seeds), first, m.Core)
	if m.Core {
		say("data-folder = %q", f.folder(m))
	}
	say("discovered-by = \"cloud_api\"\nentry-kind = \"shared_address\"\nbeat-every-ms = 1200\nnew-field = {a = 1}")
	say("rules-in-force = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"places\",\"tenants\",\"quota\"]")
	say("[zones]")
	for _, z := range f.Zones {
		say("%s = \"one\"", z)
	}
	say("[listen-on]\npublic-http = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol-addr = \"%s:%d\"", m.IP, publicPort, m.IP, readinessPort, m.IP, controlPort)
	say("[limits]\ncpu-share = 0.7\ncore-count = 1\nmemory-mb = 284\nopen-files = %d\nnetwork-mbps = 1000.0\ndisk-mb = 64", f.files())
	say("[survive]\nmachine-losses = 1\nzones = 1\nregion-losses = 0")
	t := f.Bounds
	say("[time-limits]\nseed-delay-s = 3\nreuse-s = 2\nin-touch-ms = %d\nack-within-ms = %d\ncatch-up-s = 4\ndrain-ms = %d\ngrace-period-s = %s\nlost-slack-ms = %d\napply-ms = %d\ngo-back-ms = %d\nstretch-ms = 5000",
		ms(t.InTouch), ms(f.Ack), ms(t.Drain), sec(t.Grace), ms(t.LostSlack), ms(t.Apply), ms(t.GoBack))
	say("retry-ratio = %v\nretry-window-s = %s\nretry-slack = %d\ncold-overrun = %v\ncold-slack = %v\nevacuate-ms = %d\nrecovery-s = %s\ntransit-ms = 120\nchecks-fence = %v\nlease-length-ms = %d\nthaw-slack-ms = 300",
		t.RetryRatio, sec(t.RetryWindow), t.RetrySlack, t.ColdOverrun, t.ColdSlack, ms(t.Evacuate), sec(t.Recovery), t.ChecksFence, ms(t.Lease))
	say("revoked-fail = false\nrevoke-within-ms = 5000\nquota-window-s = %s\nquota-overrun = %v\nquota-slack = %v",
		sec(t.QuotaWindow), t.QuotaOverrun, t.QuotaSlack)
	say("[cloud-api]\naddress = %q\nrate-per-s = %v\nduties = []\nmax-lag-ms = %d", f.Cloud, f.Rate, ms(f.Lag))
	return b.String()
}
