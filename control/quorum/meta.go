package quorum

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Meta is a replica's durable state except its records. It is stored as JSON with the field
// names in the tags, which earlier builds use too.
type Meta struct {
	VotedTerm     uint64        `json:"Promised"` // the highest term in which it voted or which it joined; 0: none
	VotedFor      string        `json:"To"`       // the candidate that has its vote in that term
	VotedForEpoch uint64        `json:"ToEpoch"`  // the incarnation of VotedFor that was voted for
	CandidateTerm uint64        `json:"Tried"`    // the highest term of its own candidacies; no term is used twice
	LastComplete  uint64        `json:"Set"`      // the last complete term, see the package comment
	Group         message.Group `json:"Group"`
	Incomplete    bool          `json:"Short,omitempty"` // the disk lost records: no vote until they are installed again

	State   message.SavePoint         `json:"State,omitzero"`    // the save point of this state
	History []message.SavePoint       `json:"History,omitempty"` // last save points of earlier incarnations, oldest first
	Peers   []message.PeerIncarnation `json:"Peers,omitempty"`   // the known incarnations of the other replicas
}

// vote binds a replica to the candidate of a term.
type vote struct {
	term           uint64
	candidate      string
	candidateEpoch uint64
}

// vote returns the current vote.
func (m *Meta) vote() vote { return vote{m.VotedTerm, m.VotedFor, m.VotedForEpoch} }

// setVote replaces the current vote; the caller must have it saved.
func (m *Meta) setVote(v vote) {
	m.VotedTerm, m.VotedFor, m.VotedForEpoch = v.term, v.candidate, v.candidateEpoch
}

// isVotedFor reports whether a candidate has the vote in a term.
func (m *Meta) isVotedFor(term uint64, candidate string) bool {
	return m.VotedTerm == term && m.VotedFor == candidate
}

// holdsTerm reports whether the records of a term's leader were installed completely
// and none was lost since.
func (m *Meta) holdsTerm(term uint64) bool { return m.LastComplete == term && !m.Incomplete }

// Sum returns a checksum of the votes, the group and the records. If the state read
// from disk has a different checksum, it is damaged.
//
// Example: damaged := row.Sum != meta.Sum(records)
func (m Meta) Sum(records *digest.Records) uint64 {
	h := fnv.New64a()
	addNumbers := func(list ...uint64) {
		var raw []byte
		for _, n := range list {
			raw = binary.BigEndian.AppendUint64(raw, n)
		}
		_, _ = h.Write(raw)
	}
	addText := func(text string) {
		addNumbers(uint64(len(text)))
		_, _ = h.Write([]byte(text))
	}
	incomplete := uint64(0)
	if m.Incomplete {
		incomplete = 1
	}
	addNumbers(m.VotedTerm, m.VotedForEpoch, m.CandidateTerm, m.LastComplete, incomplete,
		m.Group.Number, uint64(len(m.Group.Replicas)))
	addText(m.VotedFor)
	for _, replica := range append(slices.Clone(m.Group.Replicas), m.Group.Next...) {
		addText(replica.Ident)
	}
	addNumbers(records.Digests()...)
	return h.Sum64() | 1 // 0 means that no checksum is stored
}

// IncarnationsSum returns a checksum of State, History and Peers, or 0 if they are empty. It is
// separate from Sum so that a build without incarnations can still verify the rest. It
// covers the values as %v prints them, so the order and types of their fields must not
// change.
//
// Example: trusted := row.Past == row.IncarnationsSum()
func (m Meta) IncarnationsSum() uint64 {
	if m.State.Epoch == 0 && len(m.History)+len(m.Peers) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%v %v %v", m.State, m.History, m.Peers)
	return h.Sum64() | 1
}
