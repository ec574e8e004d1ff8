package storage

import (
	"database/sql"
	"encoding/json"
	"slices"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// each runs through the rows of a query; one that ends early is an error.
func (a *Store) each(query string, f func(scan func(...any) error) error) error {
	rows, err := a.db.Query(query)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = rows.Close() }()
	for rows.Next() {
		if err := f(rows.Scan); err != nil {
			return err
		}
	}
	return Error.Wrap(rows.Err())
}

// row is what the table of replicas holds of one.
type row struct {
	quorum.Meta
	Sum  uint64 `json:"Sum,omitempty"`  // of the state as it was written; a build before this one writes none
	Past uint64 `json:"Past,omitempty"` // of what it says of incarnations
}

// load reads all partitions. What is there and isn't what was written, by its
// sums, counts as missing, and the partition as short: marked on disk at once.
func (a *Store) load() error {
	a.Partitions = map[int]PartitionState{}
	sums := map[int]uint64{}
	err := a.each("select part, v from seat", func(scan func(...any) error) error {
		var partition int
		var v string
		var r row
		if err := scan(&partition, &v); err != nil {
			return Error.Wrap(err)
		}
		if err := json.Unmarshal([]byte(v), &r); err != nil {
			return damage{Error.Wrap(err)}
		}
		if r.Past != r.PastSum() { // it claims nothing rather than what was never written
			r.State, r.History, r.Peers = message.SavePoint{}, nil, nil
		}
		a.Partitions[partition], sums[partition] = PartitionState{Meta: r.Meta, Records: digest.NewRecords()}, r.Sum
		return nil
	})
	if err != nil {
		return err
	}
	spoilt, err := a.loadRecords()
	if err != nil {
		return err
	}
	var mark []quorum.Save
	for partition, h := range a.Partitions {
		if len(spoilt[partition]) == 0 && (sums[partition] == 0 || sums[partition] == h.Meta.Sum(h.Records)) {
			continue
		}
		h.Meta.Incomplete = true
		a.Partitions[partition] = h
		a.IncompletePartitions = append(a.IncompletePartitions, partition)
		mark = append(mark, quorum.Save{Partition: partition, Meta: h.Meta, Delete: spoilt[partition], Sum: h.Meta.Sum(h.Records)})
	}
	slices.Sort(a.IncompletePartitions)
	if len(mark) == 0 {
		return nil
	}
	return a.Write(mark)
}

// loadRecords reads the records of all partitions and names those whose value
// isn't what was written.
func (a *Store) loadRecords() (spoilt map[int][]string, err error) {
	spoilt = map[int][]string{}
	const query = "select r.part, r.key, r.term, r.seq, r.dead, r.val, s.sum from rec r left join sums s on s.part=r.part and s.key=r.key and s.term=r.term and s.seq=r.seq"
	err = a.each(query, func(scan func(...any) error) error {
		var partition int
		var r message.Record
		var sum sql.NullInt64 // a build before this one writes none
		if err := scan(&partition, &r.Key, &r.Version.Term, &r.Version.Seq, &r.Deleted, &r.Value, &sum); err != nil {
			return Error.Wrap(err)
		}
		h, ok := a.Partitions[partition]
		if !ok {
			return damage{Error.New("record %q of partition %d, which has no replica", r.Key, partition)}
		}
		if sum.Valid && sum.Int64 != int64(digest.Fingerprint(r)) {
			a.CorruptRecords++
			spoilt[partition] = append(spoilt[partition], r.Key)
			return nil
		}
		h.Records.Put(r)
		return nil
	})
	return spoilt, err
}
