// Package answer reads the answers to calls, such as grants, health checks and reads of the store.
package answer

import (
	"fmt"
	"io"
	"net/http"
)

const (
	// MaxHeadBytes bounds the head of an answer to calls of which few are under way at once.
	MaxHeadBytes = 16 << 10
	// maxStatusBytes bounds a body that tells nothing. Proper ones have a few hundred bytes.
	maxStatusBytes = 64 << 10
)

// TooLongError reports an answer that is longer than any proper one. The call counts as not answered.
type TooLongError struct {
	Max int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("the body of the answer exceeds %d bytes: check the peer's version and health", e.Max)
}

// Read returns the body of an answer, read to its end. An answer that is cut or whose body exceeds most bytes is an error.
func Read(response *http.Response, most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > most {
		return nil, &TooLongError{
			Max: most,
		}
	}
	return body, nil
}

// Finish reads the body of an answer of which only the head matters to its end. An answer that is cut or too long is an error.
func Finish(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStatusBytes+1))
	if err != nil {
		return err
	}
	if n > maxStatusBytes {
		return &TooLongError{
			Max: maxStatusBytes,
		}
	}
	return nil
}
