// Package trace reads and writes traces of recorded inputs and outcomes, one JSON object per line, and replays the
// decisions made on the inputs.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cuminlift/core/ownership"
	"cuminlift/schema"
)

// Format is the version of the trace format that this program writes, and the highest that it reads.
const Format = 1

// maxLineSize bounds the length of a line, in bytes.
const maxLineSize = 16 << 20

// LineError reports an invalid line. The lines before it are valid.
type LineError struct {
	Line    int
	Problem string
	Remedy  string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("trace line %d: %s: %s", e.Line, e.Problem, e.Remedy)
}

// Write writes line to w as one line of JSON.
func Write(w io.Writer, line *schema.TraceLine) error {
	text, err := protojson.Marshal(line)
	if err != nil {
		return fmt.Errorf("encode trace line: %w", err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return fmt.Errorf("encode trace line: %w", err)
	}
	compact.WriteByte('\n')
	_, err = w.Write(compact.Bytes())
	return err
}

// Read returns the lines of a trace. On an invalid line it returns the lines before it and a *LineError.
func Read(r io.Reader) ([]*schema.TraceLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineSize)
	var lines []*schema.TraceLine
	number := 0
	for scanner.Scan() {
		number++
		if strings.TrimSpace(scanner.Text()) == "" {
			continue
		}
		line, err := parseLine(number, scanner.Bytes())
		if err != nil {
			return lines, err
		}
		if n := len(lines); n > 0 && line.GetSequence() <= lines[n-1].GetSequence() {
			return lines, &LineError{
				Line:    number,
				Problem: fmt.Sprintf("sequence %d follows %d", line.GetSequence(), lines[n-1].GetSequence()),
				Remedy:  "restore the order in which the lines were written",
			}
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return lines, &LineError{
			Line:    number + 1,
			Problem: err.Error(),
			Remedy:  "use a file that was written as a trace",
		}
	}
	return lines, nil
}

func parseLine(number int, text []byte) (*schema.TraceLine, error) {
	line := &schema.TraceLine{}
	if err := protojson.Unmarshal(text, line); err != nil {
		return nil, decodeError(number, text, err)
	}
	if line.GetFormat() == 0 || line.GetFormat() > Format {
		return nil, &LineError{
			Line:    number,
			Problem: fmt.Sprintf("format %d is not between 1 and %d", line.GetFormat(), Format),
			Remedy:  "replay it with the version of cuminlift that wrote it",
		}
	}
	return line, nil
}

// decodeError returns a *LineError for a line that is not a trace line: incomplete JSON, or JSON with unknown content.
func decodeError(number int, text []byte, cause error) error {
	remedy := "the file is truncated or is not a trace: record it again"
	if json.Valid(text) {
		remedy = "the line is not a trace line or was written by a newer version: replay it with the version of cuminlift that wrote it"
	}
	return &LineError{
		Line:    number,
		Problem: strings.ReplaceAll(cause.Error(), "\u00a0", " "),
		Remedy:  remedy,
	}
}

// Digest returns a hash of a list of actions, empty for an empty list.
func Digest(actions []ownership.Action) string {
	if len(actions) == 0 {
		return ""
	}
	sum := xxhash.New()
	for _, a := range actions {
		switch {
		case a.Read != nil:
			fmt.Fprintf(sum, "read %d %d\n", a.Read.StartedAt, a.Read.KnownVersion)
		case a.Write != nil:
			fmt.Fprintf(sum, "write %d\n", a.Write.BaseVersion)
			addMessage(sum, a.Write.Next)
		case a.Send != nil:
			fmt.Fprintf(sum, "send %s\n", a.Send.To.GetId())
			addMessage(sum, a.Send.View)
		case a.Grant != nil:
			fmt.Fprintf(sum, "grant %s\n", a.Grant.Address)
			addMessage(sum, a.Grant.Grant)
		}
	}
	return fmt.Sprintf("%016x", sum.Sum64())
}

// addMessage writes the deterministic encoding of message to w.
func addMessage(w io.Writer, message proto.Message) {
	content, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(message)
	if err == nil {
		_, _ = w.Write(content)
	}
}

// EncodeTiming converts the configuration of a guardian to the message that a trace records.
func EncodeTiming(t ownership.Timing, extraTakeoverDelay time.Duration, keyed bool, homeOffset int) *schema.Timing {
	return &schema.Timing{
		HeartbeatMs: t.HeartbeatInterval.Milliseconds(),
		SuspectMs:   t.SuspectTimeout.Milliseconds(),
		ConfirmMs:   t.ConfirmationTTL.Milliseconds(),
		PromiseMs:   t.PromiseTTL.Milliseconds(),
		DriftPpm:    t.MaxDriftPPM,
		PollMs:      t.PollInterval.Milliseconds(),
		ExtraMs:     extraTakeoverDelay.Milliseconds(),
		Keyed:       keyed,
		Spread:      int32(homeOffset),
	}
}
