package scene

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
)

// build compiles the daemon.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "mulleinmast/cmd/mulleinmast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "mulleinmast")
}

// slots limits the scenes that run at once: more than four would slow each other down.
var slots = make(chan bool, 4)

// playAlone plays a scene that has its own test.
func playAlone(t *testing.T, name string, part float64) {
	t.Helper()
	t.Parallel()
	program := build(t)
	slots <- true
	defer func() { <-slots }()
	play(t, program, name, 40, part)
}

// play runs a scene, which must break no rule and serve at least a given fraction of the
// tries.
func play(t *testing.T, program, name string, rate, part float64) {
	t.Helper()
	rep, err := Play(context.Background(), Config{Dir: t.TempDir(), Program: program, Pace: 1, PerZone: 2, Short: true, Rate: rate, Seed: 11}, Scenes[name])
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range rep.Broken {
		t.Error(b)
	}
	if rep.Failed || rep.All == 0 || float64(rep.Served) < part*float64(rep.All) {
		t.Errorf("the scene failed or served too few requests:\n%s", rep)
	}
	if rep.Seen["handed over"] == 0 {
		t.Errorf("no request was decoded from a prefilled prompt: %v", rep.Seen)
	}
	t.Log(rep)
}

// Real daemons, started as on the platform and surrounded by stand-ins, break no rule in any
// scene.
func TestScenesOnThePlatform(t *testing.T) {
	program := build(t)
	t.Run("scenes", func(t *testing.T) {
		for name, part := range map[string]float64{
			"calm": 0.98, "roll": 0.95, "kill-leader": 0.9, "release": 0.95, "evacuate": 0.95, "config": 0.95, "garble": 0.8, "answers": 0.75, "crash": 0.9,
			"race": 0.95, "repeats": 0.9, "lost-disk": 0.9, "seeds": 0.6, "cut-off": 0.9, "lapse": 0.7,
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				slots <- true
				defer func() { <-slots }()
				play(t, program, name, 40, part)
			})
		}
	})
}

// A backup restored on one machine must not bring back an older version or lose later
// acknowledged changes.
func TestBackupRestoredOnOneMachineLosesNothing(t *testing.T) {
	playAlone(t, "back-up", 0.6)
}

// After the loss of all disks the fleet continues from the backups, if an operator marks
// them as the remaining state.
func TestBackupsReplaceStateOfAllMachines(t *testing.T) {
	playAlone(t, "restored", 0.5)
}

// A data folder that was copied file by file and restored after many changes must not bring
// back an older version or lose changes.
func TestOldFolderCopyLosesNothing(t *testing.T) {
	playAlone(t, "old-copy", 0.5)
}

// A copy of a data folder that is started while the original runs must not vote and ends;
// the original continues.
func TestFolderCopyNextToOriginalHasNoVote(t *testing.T) {
	playAlone(t, "copy-beside", 0.6)
}

// If two of three machines are restored from older copies, the third must detect it.
func TestMajorityOfOldCopiesIsDetected(t *testing.T) {
	playAlone(t, "old-majority", 0.3)
}

// A disk that moves to another machine at another address stays the same replica.
func TestMovedDiskIsTheSameReplica(t *testing.T) {
	playAlone(t, "moved", 0.6)
}

// A machine that is stopped while another one is permanently lost must not take that
// machine's replacement from the group, or the next loss of a disk would cost the majority.
func TestStopDuringLossKeepsMajority(t *testing.T) {
	playAlone(t, "stop-beside-loss", 0.6)
}
