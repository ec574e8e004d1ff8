package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"mulleinmast/control/leadercall"
)

// Results of the daemon's own answers, beside those of leadercall.
const (
	resultLive     = "live"
	resultReady    = "ready"
	resultNotReady = "not ready"
	resultUnknown  = "not known"
)

// Respond writes a JSON answer: a value, or bytes that are JSON already. One that the
// caller should ask for again carries Retry-After.
//
// Example: daemon.Respond(w, 503, leadercall.Response{Result: "refused", RetryAfterMillis: 1500})
func Respond(w http.ResponseWriter, status int, v any) {
	body, ok := v.([]byte)
	if !ok {
		body = leadercall.Pack(v)
	}
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfter(body))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// retryAfter is the time to come back that an answer names, in whole seconds, at
// least one.
func retryAfter(body []byte) string {
	var response leadercall.Response
	_ = json.Unmarshal(body, &response) // another body names none
	return strconv.FormatInt(max(1, (response.RetryAfterMillis+999)/1000), 10)
}

// respondFaults answers a call that is wrong in itself.
func respondFaults(w http.ResponseWriter, status int, faults ...string) {
	Respond(w, status, leadercall.Response{Result: leadercall.ResultInvalid, Faults: faults})
}

// ReadBody reads a request's body up to a bound in bytes; false: it was answered.
//
// Example: body, ok := daemon.ReadBody(w, r, 1<<20)
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		respondFaults(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body: more than %d bytes", limit))
	case err != nil:
		// What did not come whole may be in order: nothing is claimed of it.
		response := leadercall.Response{Result: leadercall.ResultNotDone, Reason: "body: " + err.Error()}
		Respond(w, http.StatusRequestTimeout, response)
	}
	return body, err == nil
}
