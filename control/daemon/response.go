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

// Results of the daemon's own responses, in addition to those of leadercall.
const (
	resultLive     = "live"
	resultReady    = "ready"
	resultNotReady = "not ready"
	resultUnknown  = "not known"
)

// Respond writes a JSON response. v is a value to encode, or bytes that are already JSON. Responses
// with status 429 or a server error get a Retry-After header.
//
// Example: daemon.Respond(w, 503, leadercall.Response{Result: "refused", RetryAfterMillis: 1500})
func Respond(w http.ResponseWriter, status int, v any) {
	body, ok := v.([]byte)
	if !ok {
		body = leadercall.MustMarshal(v)
	}
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfter(body))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// retryAfter returns the retry delay that a response names, rounded up to whole seconds and at
// least one.
func retryAfter(body []byte) string {
	var response leadercall.Response
	_ = json.Unmarshal(body, &response) // other bodies name no delay
	return strconv.FormatInt(max(1, (response.RetryAfterMillis+999)/1000), 10)
}

// respondFaults responds to an invalid call.
func respondFaults(w http.ResponseWriter, status int, faults ...string) {
	Respond(w, status, leadercall.Response{Result: leadercall.ResultInvalid, Faults: faults})
}

// ReadBody reads a request's body up to a limit in bytes. If it returns false, it has already
// responded with an error.
//
// Example: body, ok := daemon.ReadBody(w, r, 1<<20)
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		respondFaults(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body: more than %d bytes", limit))
	case err != nil:
		// The body is incomplete, which doesn't mean that the request is invalid.
		response := leadercall.Response{Result: leadercall.ResultNotDone, Reason: "body: " + err.Error()}
		Respond(w, http.StatusRequestTimeout, response)
	}
	return body, err == nil
}
