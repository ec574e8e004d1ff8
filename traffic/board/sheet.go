package board

//go:generate go tool msgp -tests=false

// Use is what daemons have under way at one server.
type Use struct {
	Server  uint64 `msg:"s"`
	Tokens  int    `msg:"t"` // of prompts sent to be read and not yet read
	Writing int    `msg:"w"` // answers
	Pause   int    `msg:"g"` // ms between their events of late, times Writing so that sums can be told
	Good    int    `msg:"o"` // daemons that had an answer from it just now
	Bad     int    `msg:"b"` // daemons whose last call to it failed without a word
}

// Change is the Use of a server, as it goes in a telling of what changed.
//
//msgp:tuple Change
type Change struct {
	Server                            uint64
	Tokens, Writing, Pause, Good, Bad int
}

// Kept says that a server has just read or taken up a prompt.
type Kept struct {
	Prefix uint64 `msg:"p"` // of the parts that others may share
	Server uint64 `msg:"s"`
	Tokens int    `msg:"t"` // of the whole prompt, as far as the server had to keep it anew
}

// Sheet is one telling: a daemon's to the head of its zone, a head's to the
// daemons of its zone (the whole fleet's sums) or to another head (its zone's).
type Sheet struct {
	From string `msg:"f"`
	Zone string `msg:"z"`
	Kind byte   `msg:"k"`
	Uses []Use  `msg:"u"`
	Kept []Kept `msg:"m"`

	Changes []Change `msg:"c,omitempty"` // instead of Uses, in a telling of what changed
}
