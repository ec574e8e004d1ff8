package storage

import (
	"database/sql"
	"encoding/json"
	"slices"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// replicaRow is the JSON value of a row of the replica table.
type replicaRow struct {
	quorum.Meta
	// Sum is the checksum of the state as written; 0 if an older build wrote none.
	Sum uint64 `json:"Sum,omitempty"`
	// Past is the checksum of the row's incarnation fields (State, History, Peers).
	Past uint64 `json:"Past,omitempty"`
}

// load reads all partitions. A record that doesn't match its checksum counts as missing.
// A partition with such a record, or whose own checksum doesn't match, is incomplete. load
// also marks it as incomplete on disk.
func (s *Store) load() error {
	sums, err := s.loadReplicas()
	if err != nil {
		return err
	}
	corrupt, err := s.loadRecords()
	if err != nil {
		return err
	}
	var marks []quorum.Save
	for partition, state := range s.Partitions {
		sumMatches := sums[partition] == 0 || sums[partition] == state.Meta.Sum(state.Records)
		if len(corrupt[partition]) == 0 && sumMatches {
			continue
		}
		state.Meta.Incomplete = true
		s.Partitions[partition] = state
		s.IncompletePartitions = append(s.IncompletePartitions, partition)
		marks = append(marks, quorum.Save{
			Partition: partition, Meta: state.Meta, Delete: corrupt[partition], Sum: state.Meta.Sum(state.Records),
		})
	}
	slices.Sort(s.IncompletePartitions)
	if len(marks) == 0 {
		return nil
	}
	return s.Write(marks)
}

// loadReplicas reads the metadata of each partition and returns the checksums that were
// written for the complete states.
func (s *Store) loadReplicas() (sums map[int]uint64, err error) {
	s.Partitions = map[int]PartitionState{}
	sums = map[int]uint64{}
	err = s.forEachRow("select part, v from seat", func(scan func(...any) error) error {
		var partition int
		var text string
		var r replicaRow
		if err := scan(&partition, &text); err != nil {
			return Error.Wrap(err)
		}
		if err := json.Unmarshal([]byte(text), &r); err != nil {
			return corruptError{Error.Wrap(err)}
		}
		if r.Past != r.IncarnationsSum() { // an altered row must not claim incarnations that were never written
			r.State, r.History, r.Peers = message.SavePoint{}, nil, nil
		}
		s.Partitions[partition] = PartitionState{Meta: r.Meta, Records: digest.NewRecords()}
		sums[partition] = r.Sum
		return nil
	})
	return sums, err
}

// selectRecords reads each record with its checksum, which is null unless one was written
// for this version of the record.
const selectRecords = `select r.part, r.key, r.term, r.seq, r.dead, r.val, s.sum from rec r
left join sums s on s.part=r.part and s.key=r.key and s.term=r.term and s.seq=r.seq`

// loadRecords reads the records of all partitions and returns the keys of those that
// don't match their checksums.
func (s *Store) loadRecords() (corrupt map[int][]string, err error) {
	corrupt = map[int][]string{}
	err = s.forEachRow(selectRecords, func(scan func(...any) error) error {
		var partition int
		var r message.Record
		var sum sql.NullInt64 // null for records of a build that keeps no checksums
		err := scan(&partition, &r.Key, &r.Version.Term, &r.Version.Seq, &r.Deleted, &r.Value, &sum)
		if err != nil {
			return Error.Wrap(err)
		}
		state, ok := s.Partitions[partition]
		if !ok {
			return corruptError{Error.New("record %q belongs to partition %d, which has no replica here", r.Key, partition)}
		}
		if sum.Valid && sum.Int64 != int64(digest.Fingerprint(r)) {
			s.CorruptRecords++
			corrupt[partition] = append(corrupt[partition], r.Key)
			return nil
		}
		state.Records.Put(r)
		return nil
	})
	return corrupt, err
}
