package gateway

import (
	"bytes"
	"compress/zlib"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

const (
	// minPackedRows is the size of the rows, in bytes, from which they are compressed. A configuration with thousands of routes takes the
	// coordinator's link for a second if it goes uncompressed to each of dozens of instances, and heartbeats wait behind it.
	minPackedRows = 32 << 10
	// maxUnpackedRows bounds the size of rows that were compressed.
	maxUnpackedRows = 16 << 20
)

// RowsError reports compressed rows that can't be read.
type RowsError struct {
	Table string
	Cause error
}

func (e *RowsError) Error() string {
	return fmt.Sprintf("compressed rows of table %s can't be read (%v): the connection is closed, and the rows are sent again on the next one", e.Table, e.Cause)
}

// Unwrap returns the cause.
func (e *RowsError) Unwrap() error { return e.Cause }

// packRows returns a message with the same rows compressed, or the message itself if they are few or can't be compressed.
func packRows(frame *schema.Frame) *schema.Frame {
	rows := frame.GetRows()
	if proto.Size(rows) < minPackedRows {
		return frame
	}
	text, err := proto.Marshal(&schema.TableRows{
		Rows: rows.GetRows(),
	})
	if err != nil {
		return frame
	}
	var packed bytes.Buffer
	// The level is valid, and writing to a buffer can't fail.
	w, _ := zlib.NewWriterLevel(&packed, zlib.BestSpeed)
	_, _ = w.Write(text)
	_ = w.Close()
	return &schema.Frame{
		Body: &schema.Frame_Rows{
			Rows: &schema.TableRows{
				Table:      rows.GetTable(),
				Version:    rows.GetVersion(),
				Whole:      rows.GetWhole(),
				Joins:      rows.GetJoins(),
				Since:      rows.GetSince(),
				Era:        rows.GetEra(),
				PackedRows: packed.Bytes(),
			},
		},
	}
}

// unpackRows replaces compressed rows by the rows. It returns a *RowsError if they can't be read.
func unpackRows(rows *schema.TableRows) error {
	if len(rows.GetPackedRows()) == 0 {
		return nil
	}
	unpacked, err := decompressRows(rows.GetPackedRows())
	if err != nil {
		return &RowsError{
			Table: rows.GetTable(),
			Cause: err,
		}
	}
	rows.Rows, rows.PackedRows = unpacked.GetRows(), nil
	return nil
}

func decompressRows(packed []byte) (*schema.TableRows, error) {
	r, err := zlib.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpackedRows+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxUnpackedRows {
		return nil, fmt.Errorf("they exceed %d bytes", maxUnpackedRows)
	}
	rows := &schema.TableRows{}
	return rows, proto.Unmarshal(text, rows)
}

// forwardRows sends rows to all instances, compressed to those that can read it.
func (c *coordinator) forwardRows(frame *schema.Frame) {
	c.sendTo(frame, func(l *link) bool { return !l.unpacksRows })
	c.sendTo(packRows(frame), func(l *link) bool { return l.unpacksRows })
}

// rowsVersion identifies the rows of a table that an instance is sent.
type rowsVersion struct {
	era, since, version uint64
	whole               bool
}

// packedRows holds compressed rows, because instances that connect at the same time get the same.
type packedRows struct {
	rowsVersion
	frame *schema.Frame
}

// sendRows sends rows to an instance that has connected, compressed if it can read that.
func (c *coordinator) sendRows(l *link, frame *schema.Frame) {
	if !l.unpacksRows {
		l.send(frame)
		return
	}
	rows := frame.GetRows()
	wanted := rowsVersion{
		era:     rows.GetEra(),
		since:   rows.GetSince(),
		version: rows.GetVersion(),
		whole:   rows.GetWhole(),
	}
	last, packed := c.packed[rows.GetTable()]
	if !packed || last.rowsVersion != wanted {
		last = packedRows{
			rowsVersion: wanted,
			frame:       packRows(frame),
		}
		c.packed[rows.GetTable()] = last
	}
	l.send(last.frame)
}
