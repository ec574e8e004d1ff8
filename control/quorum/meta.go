package quorum

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Meta is a replica's durable state beside its records. It is stored as JSON under
// the names of its tags, which are those of earlier builds.
type Meta struct {
	VotedTerm     uint64        `json:"Promised"` // the highest term that it voted in, or joined; 0: none
	VotedFor      string        `json:"To"`       // the candidate of that term
	VotedForEpoch uint64        `json:"ToEpoch"`  // the incarnation of VotedFor that was voted for
	CandidateTerm uint64        `json:"Tried"`    // the highest term it ever was a candidate in: none is used twice
	LastComplete  uint64        `json:"Set"`      // the term under which all records were last made equal to a leader's
	Group         message.Group `json:"Group"`
	Incomplete    bool          `json:"Short,omitempty"` // the disk lost some records: no vote until they are installed

	State   message.SavePoint         `json:"State,omitzero"`    // the save point of this state
	History []message.SavePoint       `json:"History,omitempty"` // the last of each earlier incarnation, oldest first
	Peers   []message.PeerIncarnation `json:"Peers,omitempty"`   // what is known of the other replicas
}

// vote is a replica's binding to the candidate of a term.
type vote struct {
	term           uint64
	candidate      string
	candidateEpoch uint64
}

// vote is the present one.
func (m *Meta) vote() vote { return vote{m.VotedTerm, m.VotedFor, m.VotedForEpoch} }

// setVote replaces the present vote; the caller sees to it that it is saved.
func (m *Meta) setVote(v vote) {
	m.VotedTerm, m.VotedFor, m.VotedForEpoch = v.term, v.candidate, v.candidateEpoch
}

// isVotedFor reports whether a candidate has the vote in a term.
func (m *Meta) isVotedFor(term uint64, candidate string) bool {
	return m.VotedTerm == term && m.VotedFor == candidate
}

// holdsTerm reports whether the records were made equal to those of a term's leader
// and none was lost since.
func (m *Meta) holdsTerm(term uint64) bool { return m.LastComplete == term && !m.Incomplete }

// Sum is a checksum of a replica's whole durable state. What is read back from a
// disk and has another one isn't what was written.
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
	return h.Sum64() | 1 // 0 is none
}

// PastSum is a checksum of the part of a replica's state that is about incarnations; 0
// if that is empty. A build that knows of none reads the rest of the state by Sum alone.
// It is of the fields' values as %v prints them: their order and kinds are stored.
//
// Example: trusted := row.Past == row.PastSum()
func (m Meta) PastSum() uint64 {
	if m.State.Epoch == 0 && len(m.History)+len(m.Peers) == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%v %v %v", m.State, m.History, m.Peers)
	return h.Sum64() | 1
}
