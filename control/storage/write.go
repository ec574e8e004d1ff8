package storage

import (
	"database/sql"
	"encoding/json"
	"fmt"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Write writes a batch of saves to disk in order, in a single transaction.
//
// Example: err := s.Write(out.Saves)
func (s *Store) Write(saves []quorum.Save) error {
	tx, err := s.db.Begin()
	if err != nil {
		return Error.Wrap(err)
	}
	for _, save := range saves {
		if err := writeSave(tx, save); err != nil {
			_ = tx.Rollback()
			return Error.Wrap(fmt.Errorf("partition %d: %w", save.Partition, err))
		}
	}
	return Error.Wrap(tx.Commit())
}

// writeSave writes one save: first the replica's metadata, then the changes of records in
// the order defined by quorum.Save.
func writeSave(tx *sql.Tx, save quorum.Save) error {
	if err := writeReplica(tx, save); err != nil {
		return err
	}
	for _, span := range save.WipeRanges {
		if err := wipeRange(tx, save.Partition, span); err != nil {
			return err
		}
	}
	for _, r := range save.Records {
		if err := putRecord(tx, save.Partition, r); err != nil {
			return err
		}
	}
	for _, key := range save.Delete {
		if err := deleteRecord(tx, save.Partition, key); err != nil {
			return err
		}
	}
	return nil
}

func writeReplica(tx *sql.Tx, save quorum.Save) error {
	text, err := json.Marshal(replicaRow{Meta: save.Meta, Sum: save.Sum, Past: save.Meta.IncarnationsSum()})
	if err != nil {
		return err
	}
	_, err = tx.Exec("insert or replace into seat values(?,?)", save.Partition, string(text))
	return err
}

// wipeRange deletes the records of a range of keys and their checksums.
func wipeRange(tx *sql.Tx, partition, span int) error {
	const wipeSums = "delete from sums where part=? and key in (select key from rec where part=? and span=?)"
	if _, err := tx.Exec(wipeSums, partition, partition, span); err != nil {
		return err
	}
	_, err := tx.Exec("delete from rec where part=? and span=?", partition, span)
	return err
}

// putRecord inserts or replaces a record and its checksum.
func putRecord(tx *sql.Tx, partition int, r message.Record) error {
	_, err := tx.Exec("insert or replace into rec values(?,?,?,?,?,?,?)",
		partition, r.Key, digest.RangeOf(r.Key), r.Version.Term, r.Version.Seq, r.Deleted, r.Value)
	if err != nil {
		return err
	}
	_, err = tx.Exec("insert or replace into sums values(?,?,?,?,?)",
		partition, r.Key, r.Version.Term, r.Version.Seq, int64(digest.Fingerprint(r)))
	return err
}

func deleteRecord(tx *sql.Tx, partition int, key string) error {
	if _, err := tx.Exec("delete from rec where part=? and key=?", partition, key); err != nil {
		return err
	}
	_, err := tx.Exec("delete from sums where part=? and key=?", partition, key)
	return err
}
