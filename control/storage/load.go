package storage

import (
	"database/sql"
	"encoding/json"
	"slices"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// replicaRow is what the table of replicas holds of one, as JSON.
type replicaRow struct {
	quorum.Meta
	// Sum is that of the state as it was written; 0: by a build that wrote none.
	Sum uint64 `json:"Sum,omitempty"`
	// Past is the sum of what the row says of incarnations.
	Past uint64 `json:"Past,omitempty"`
}

// load reads all partitions. What is there and isn't what was written, by its
// sums, counts as missing, and the partition as incomplete: marked on disk at once.
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
		isWhole := sums[partition] == 0 || sums[partition] == state.Meta.Sum(state.Records)
		if len(corrupt[partition]) == 0 && isWhole {
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

// loadReplicas reads each partition's state beside its records, and gives the sums of
// the whole states as they were written.
func (s *Store) loadReplicas() (sums map[int]uint64, err error) {
	s.Partitions = map[int]PartitionState{}
	sums = map[int]uint64{}
	err = s.each("select part, v from seat", func(scan func(...any) error) error {
		var partition int
		var text string
		var r replicaRow
		if err := scan(&partition, &text); err != nil {
			return Error.Wrap(err)
		}
		if err := json.Unmarshal([]byte(text), &r); err != nil {
			return corruptError{Error.Wrap(err)}
		}
		if r.Past != r.PastSum() { // it claims nothing rather than what was never written
			r.State, r.History, r.Peers = message.SavePoint{}, nil, nil
		}
		s.Partitions[partition] = PartitionState{Meta: r.Meta, Records: digest.NewRecords()}
		sums[partition] = r.Sum
		return nil
	})
	return sums, err
}

// selectRecords reads the records with the sum of each, where one was written for
// this version of it.
const selectRecords = `select r.part, r.key, r.term, r.seq, r.dead, r.val, s.sum from rec r
left join sums s on s.part=r.part and s.key=r.key and s.term=r.term and s.seq=r.seq`

// loadRecords reads the records of all partitions and names those whose value
// isn't what was written.
func (s *Store) loadRecords() (corrupt map[int][]string, err error) {
	corrupt = map[int][]string{}
	err = s.each(selectRecords, func(scan func(...any) error) error {
		var partition int
		var r message.Record
		var sum sql.NullInt64 // a build that keeps no sums writes none
		err := scan(&partition, &r.Key, &r.Version.Term, &r.Version.Seq, &r.Deleted, &r.Value, &sum)
		if err != nil {
			return Error.Wrap(err)
		}
		state, ok := s.Partitions[partition]
		if !ok {
			return corruptError{Error.New("record %q of partition %d, which has no replica", r.Key, partition)}
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
