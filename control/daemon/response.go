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

// Results of calls, as operators' programs read them.
const (
	resultDone       = "done"
	resultNotDone    = "not done"
	resultBadRequest = "broken"
	resultUnknown    = "not known"
	resultUncertain  = "uncertain"
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
	Respond(w, status, leadercall.Response{Result: resultBadRequest, Faults: faults})
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
		Respond(w, http.StatusRequestTimeout, leadercall.Response{Result: resultNotDone, Reason: "body: " + err.Error()})
	}
	return body, err == nil
}
