package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// fakeDaemon applies each change and returns the current configuration.
type fakeDaemon struct{ now wire.Config }

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPatch {
		var ch wire.Change
		body, err := io.ReadAll(req.Body)
		if err != nil || json.Unmarshal(body, &ch) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.now = d.now.With(ch)
		return
	}
	_ = json.NewEncoder(w).Encode(d.now)
}

// A change may be applied although all answers to it are lost. After reading the current
// configuration, the operator must base later changes on it.
func TestLearnAfterChangeWithoutAnswer(t *testing.T) {
	daemon := httptest.NewServer(&fakeDaemon{})
	defer daemon.Close()
	at := strings.TrimPrefix(daemon.URL, "http://")
	list := func() []entry.Daemon { return []entry.Daemon{{Name: "front-1", Admin: at}} }
	o := New(record.New(), list, 300*time.Millisecond)
	o.SetLossRate(1, 1)
	c := o.Patch(t.Context(), wire.Change{Version: 8}, o.Now())
	if c.Status != 0 || o.Now().Version != 0 {
		t.Fatalf("all answers lost: got status %d and base version %d", c.Status, o.Now().Version)
	}
	o.SetLossRate(0, 0)
	if !o.Learn(t.Context()) || o.Now().Version != 8 {
		t.Errorf("after Learn: got base version %d, want 8", o.Now().Version)
	}
	daemon.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	if o.Learn(ctx) || o.Now().Version != 8 {
		t.Errorf("daemon unreachable: Learn succeeded or changed the base version to %d", o.Now().Version)
	}
}
