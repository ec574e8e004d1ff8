package loadreport

//go:generate go tool msgp -tests=false

// ServerLoad is what daemons have under way at one server.
type ServerLoad struct {
	Server        uint64 `msg:"s"`
	Tokens        int    `msg:"t"` // of prompts sent to be read and not yet read
	Decoding      int    `msg:"w"` // answers
	InterTokenSum int    `msg:"g"` // ms between their events of late, times Writing so that sums can be told
	Answered      int    `msg:"o"` // daemons that had an answer from it just now
	Unanswered    int    `msg:"b"` // daemons whose last call to it failed without a word
}

// Change is the Use of a server, as it goes in a report of what changed.
//
//msgp:tuple Change
type Change struct {
	Server                                                uint64
	Tokens, Decoding, InterTokenSum, Answered, Unanswered int
}

// CachedPrefix says that a server has just read or taken up a prompt.
type CachedPrefix struct {
	Prefix uint64 `msg:"p"` // of the parts that others may share
	Server uint64 `msg:"s"`
	Tokens int    `msg:"t"` // of the whole prompt, as far as the server had to keep it anew
}

// Report is one report: a daemon's to the head of its zone, a head's to the
// daemons of its zone (the whole fleet's sums) or to another head (its zone's).
type Report struct {
	From     string         `msg:"f"`
	Zone     string         `msg:"z"`
	Kind     byte           `msg:"k"`
	Loads    []ServerLoad   `msg:"u"`
	Prefixes []CachedPrefix `msg:"m"`

	Changes []Change `msg:"c,omitempty"` // instead of Uses, in a report of what changed
}
