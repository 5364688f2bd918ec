package keyspace

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cuminlift/schema"
)

// splitSize is the most of an assignment that one row holds, in bytes: below the 64 KiB that a row of the store may have, with room for the
// row's other fields.
const splitSize = 60 << 10

// Split divides an assignment into the values of one row or more. Each names the assignment by its term and next fence.
func Split(assignment *schema.Assignment) ([][]byte, error) {
	data, err := proto.Marshal(assignment)
	if err != nil {
		return nil, err
	}
	var values [][]byte
	for first := true; first || len(data) > 0; first = false {
		part := data[:min(len(data), splitSize)]
		data = data[len(part):]
		value, err := proto.Marshal(&schema.AssignmentRow{
			Term:      assignment.GetTerm(),
			NextFence: assignment.GetNextFence(),
			Data:      part,
		})
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// Join returns the assignment that was divided into values, or a *RecordError.
func Join(values [][]byte, keys uint32) (*schema.Assignment, error) {
	var data []byte
	var first *schema.AssignmentRow
	for number, value := range values {
		row := &schema.AssignmentRow{}
		if err := proto.Unmarshal(value, row); err != nil {
			return nil, &AssignmentError{
				Problem: fmt.Sprintf("row %d can't be read: %v", number, err),
			}
		}
		if first == nil {
			first = row
		}
		if row.GetTerm() != first.GetTerm() || row.GetNextFence() != first.GetNextFence() {
			return nil, &AssignmentError{
				Problem: fmt.Sprintf("row %d is of another one", number),
			}
		}
		data = append(data, row.GetData()...)
	}
	assignment := &schema.Assignment{}
	if err := proto.Unmarshal(data, assignment); err != nil {
		return nil, &AssignmentError{
			Problem: "it can't be read: " + err.Error(),
		}
	}
	return assignment, Validate(assignment, keys)
}
