package scene

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
)

// build makes the daemon once for all scenes.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "mulleinmast/cmd/mulleinmast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return filepath.Join(dir, "mulleinmast")
}

// four is how many scenes run at once: more would make each other slow.
var four = make(chan bool, 4)

// alone plays a scene that is a test of its own, beside others.
func alone(t *testing.T, name string, part float64) {
	t.Helper()
	t.Parallel()
	program := build(t)
	four <- true
	defer func() { <-four }()
	play(t, program, name, 40, part)
}

// play has a scene end without a broken rule; at least a part of the tries is
// served.
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
		t.Errorf("failed, or too few were served:\n%s", rep)
	}
	if rep.Seen["handed over"] == 0 {
		t.Errorf("no prompt was handed over: %v", rep.Seen)
	}
	t.Log(rep)
}

// Real daemons, booted as on the platform, between stand-ins of all that it is:
// what befalls them breaks no rule.
func TestScenesOnThePlatform(t *testing.T) {
	program := build(t)
	t.Run("scenes", func(t *testing.T) {
		for name, part := range map[string]float64{
			"calm": 0.98, "roll": 0.95, "kill-leader": 0.9, "release": 0.95, "evacuate": 0.95, "config": 0.95, "garble": 0.8, "answers": 0.75, "crash": 0.9,
			"race": 0.95, "repeats": 0.9, "lost-disk": 0.9, "seeds": 0.6, "cut-off": 0.9, "lapse": 0.7,
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				four <- true
				defer func() { <-four }()
				play(t, program, name, 40, part)
			})
		}
	})
}

// A back-up that is put back on one machine brings nothing older into force, and
// takes nothing away that was acknowledged since.
func TestABackUpOnOneMachineLosesNothing(t *testing.T) {
	alone(t, "back-up", 0.6)
}

// Where all disks are lost the back-ups are the state, if an operator says so.
func TestBackUpsOfAllMachinesAreTheState(t *testing.T) {
	alone(t, "restored", 0.5)
}

// A folder that was copied by other means than a back-up, and put back after many
// changes, takes nothing away and brings nothing older into force.
func TestAnOlderCopyOfAFolderLosesNothing(t *testing.T) {
	alone(t, "old-copy", 0.5)
}

// A copy of a folder that is started beside the one it was copied from has no vote
// and leaves; the other goes on.
func TestACopyBesideItsOriginalHasNoVote(t *testing.T) {
	alone(t, "copy-beside", 0.6)
}

// Of three machines two get older copies put back: the third one sees through it.
func TestAMajorityOfOlderCopiesIsSeenByTheThird(t *testing.T) {
	alone(t, "old-majority", 0.3)
}

// A disk that goes on in another machine at another address is the same replica.
func TestAMovedDiskIsTheSameReplica(t *testing.T) {
	alone(t, "moved", 0.6)
}

// A machine that is told to end beside one that is gone for good takes no standby
// from it: the next disk that is lost leaves a majority.
func TestAStopBesideALossLeavesAMajority(t *testing.T) {
	alone(t, "stop-beside-loss", 0.6)
}
