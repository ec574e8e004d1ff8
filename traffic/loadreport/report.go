package loadreport

//go:generate go tool msgp -tests=false

// ServerLoad is the load that daemons have in flight at one server.
type ServerLoad struct {
	Server        uint64 `msg:"s"`
	Tokens        int    `msg:"t"` // prompt tokens sent whose prefill isn't complete
	Decoding      int    `msg:"w"` // answers being decoded
	InterTokenSum int    `msg:"g"` // recent inter-token latency in ms, times Decoding, so that loads can be added up
	Answered      int    `msg:"o"` // daemons that recently got an answer from the server
	Unanswered    int    `msg:"b"` // daemons whose last call to the server failed without an answer
}

// Change is the ServerLoad of one server in an incremental report.
//
//msgp:tuple Change
type Change struct {
	Server                                                uint64
	Tokens, Decoding, InterTokenSum, Answered, Unanswered int
}

// CachedPrefix records that a server has just prefilled a prompt or received its KV cache.
type CachedPrefix struct {
	Prefix uint64 `msg:"p"` // hash of the parts that other prompts may share
	Server uint64 `msg:"s"`
	Tokens int    `msg:"t"` // tokens of the prompt that the server newly had to cache
}

// Report is a load report: from a daemon to the head of its zone, from a head to the
// daemons of its zone (the sums of the fleet), or from a head to another head (the sums
// of its zone).
type Report struct {
	From     string         `msg:"f"`
	Zone     string         `msg:"z"`
	Kind     byte           `msg:"k"`
	Loads    []ServerLoad   `msg:"u"`
	Prefixes []CachedPrefix `msg:"m"`

	Changes []Change `msg:"c,omitempty"` // instead of Loads, in an incremental report
}
