package leadercall

import "encoding/json"

// Claim is a once key's record: who has it and what is known.
type Claim struct {
	Request string   `json:"request"`
	Daemon  string   `json:"daemon"`
	State   string   `json:"state"`          // claimed, refused, done
	Past    []string `json:"past,omitempty"` // requests that gave the key back, kept with the record only
}

// Response is a control answer that is not a verdict.
type Response struct {
	Result           string   `json:"result"`
	Reason           string   `json:"why,omitempty"`
	Faults           []string `json:"faults,omitempty"`
	RetryAfterMillis int64    `json:"retry_after_ms,omitempty"`
	Claim            *Claim   `json:"claim,omitempty"`
	Plan             string   `json:"plan,omitempty"`
	Version          uint64   `json:"version,omitempty"`
}

// Pack makes JSON of one of our own types.
//
// Example: body := leadercall.Pack(leadercall.Response{Result: "done"})
func Pack(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // our own types always pack
	}
	return b
}
