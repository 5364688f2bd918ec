package keyspace

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// maxRowData is the maximum number of bytes of an assignment per row. A row of the store is limited to 64 KiB; the
// difference leaves room for its other fields.
const maxRowData = 60 << 10

// Split encodes an assignment as the values of one or more rows. Each row identifies the assignment by its term and
// next fence.
func Split(assignment *schema.Assignment) ([][]byte, error) {
	data, err := proto.Marshal(assignment)
	if err != nil {
		return nil, err
	}
	var values [][]byte
	for first := true; first || len(data) > 0; first = false {
		chunk := data[:min(len(data), maxRowData)]
		data = data[len(chunk):]
		value, err := proto.Marshal(&schema.AssignmentRow{
			Term:      assignment.GetTerm(),
			NextFence: assignment.GetNextFence(),
			Data:      chunk,
		})
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// Join decodes an assignment encoded by Split. It returns an *AssignmentError if the rows are invalid.
func Join(values [][]byte, keys uint32) (*schema.Assignment, error) {
	var data []byte
	var first *schema.AssignmentRow
	for number, value := range values {
		row := &schema.AssignmentRow{}
		if err := proto.Unmarshal(value, row); err != nil {
			return nil, &AssignmentError{
				Problem: fmt.Sprintf("row %d cannot be decoded: %v", number, err),
			}
		}
		if first == nil {
			first = row
		}
		if row.GetTerm() != first.GetTerm() || row.GetNextFence() != first.GetNextFence() {
			return nil, &AssignmentError{
				Problem: fmt.Sprintf("row %d belongs to a different assignment", number),
			}
		}
		data = append(data, row.GetData()...)
	}
	assignment := &schema.Assignment{}
	if err := proto.Unmarshal(data, assignment); err != nil {
		return nil, &AssignmentError{
			Problem: "it cannot be decoded: " + err.Error(),
		}
	}
	return assignment, Validate(assignment, keys)
}
