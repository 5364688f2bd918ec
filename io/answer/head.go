package answer

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"cuminlift/core/pipeline"
)

const (
	// minStatus and maxStatus bound the statuses that HTTP defines. net/http accepts all numbers of three digits.
	minStatus = 100
	maxStatus = 599
)

// HeadError reports an answer whose head is not valid HTTP, so that nothing in it can be trusted: neither what it says of the request, which may
// have run, nor where its body begins and ends.
type HeadError struct {
	Problem string
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("the answer is not valid HTTP (%s): the request may have run; check the peer's version and health", e.Problem)
}

// CheckHead checks what net/http lets pass in the head of an answer: numbers that are no status, and names of fields with blanks, which it keeps
// as they are, so that "Content-Length : 5" frames nothing. Its errors are of type *HeadError. The connection of an answer that is not
// valid must not be used again.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return &HeadError{
			Problem: fmt.Sprintf("status %03d", response.StatusCode),
		}
	}
	for name := range response.Header {
		if !pipeline.IsToken([]byte(name)) {
			return &HeadError{
				Problem: fmt.Sprintf("field name %s", quoteStart(name)),
			}
		}
	}
	return nil
}

// maxQuotedBytes bounds what an error quotes of a head.
const maxQuotedBytes = 64

func quoteStart(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return strconv.Quote(text)
}

// Do sends a request and returns the answer if its head is valid. The caller must close its body.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	var conn net.Conn
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		response.Body.Close()
		if conn != nil {
			conn.Close() // Closing the body of an answer without one keeps the connection for the next call.
		}
		return nil, err
	}
	return response, nil
}
