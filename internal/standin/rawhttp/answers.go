package rawhttp

import (
	"maps"
	"slices"
)

// Body is the body of the answers in Sound, except for those without one.
const Body = "body"

// Sound are answers that are valid, to requests other than HEAD, with the status 200 unless their names say otherwise.
var Sound = map[string]Answer{
	"length":                   "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody",
	"ends with its connection": "HTTP/1.1 200 OK\r\n%s\r\nbody",
	"chunks":                   "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"after interim heads":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody",
	"unusual field names":      "HTTP/1.1 200 OK\r\n%sx_1!#$&'*+.^`|~: a b\r\n9: c\r\nContent-Length: 4\r\n\r\nbody",
	"unusual field values":     "HTTP/1.1 200 OK\r\n%sX-Empty:\r\nX-Blanks: \t a \t\r\nX-Text: \xe4:\r\nContent-Length: 4\r\n\r\nbody",
	"no reason":                "HTTP/1.1 200 \r\n%sContent-Length: 4\r\n\r\nbody",
}

// InvalidStatuses are answers whose status HTTP does not define.
var InvalidStatuses = map[string]Answer{
	"000":                                   "HTTP/1.1 000 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
	"000, no text":                          "HTTP/1.1 000\r\n%sContent-Length: 4\r\n\r\nbody",
	"000, no length":                        "HTTP/1.1 000 Unknown\r\n%s\r\nbody",
	"000, a body that reads like an answer": "HTTP/1.1 000 Unknown\r\n%[1]s\r\nHTTP/1.1 200 OK\r\n%[1]sContent-Length: 4\r\n\r\nbody",
	"000, interim":                          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Unknown\r\n%[1]sContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n%[1]sContent-Length: 4\r\n\r\nbody",
	"001":                                   "HTTP/1.1 001 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
	"099":                                   "HTTP/1.1 099 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
	"+20":                                   "HTTP/1.1 +20 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
	"600":                                   "HTTP/1.1 600 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
	"999":                                   "HTTP/1.1 999 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
	"1000":                                  "HTTP/1.1 1000 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
	"2x0":                                   "HTTP/1.1 2x0 Unknown\r\n%sContent-Length: 4\r\n\r\nbody",
}

// InvalidNames are answers with a field whose name is not a token.
var InvalidNames = map[string]Answer{
	"blank within":                                "HTTP/1.1 200 OK\r\n%sX Filler: a\r\nContent-Length: 4\r\n\r\nbody",
	"blank before the colon":                      "HTTP/1.1 200 OK\r\n%sX-Filler : a\r\nContent-Length: 4\r\n\r\nbody",
	"blank before the colon of a length":          "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\nbody",
	"blank before the colon of a second length":   "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\nContent-Length: 4\r\n\r\nbody",
	"blank before the colon of an encoding":       "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank before the colon, encoding and length": "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"blank first":                                 "HTTP/1.1 200 OK\r\n X-Filler: a\r\n%sContent-Length: 4\r\n\r\nbody",
	"status 404":                                  "HTTP/1.1 404 Not Found\r\n%sX Filler: a\r\nContent-Length: 4\r\n\r\nbody",
	"tab":                                         "HTTP/1.1 200 OK\r\n%sX-Filler\t: a\r\nContent-Length: 4\r\n\r\nbody",
	"NUL":                                         "HTTP/1.1 200 OK\r\n%sX-\x00Filler: a\r\nContent-Length: 4\r\n\r\nbody",
	"control byte":                                "HTTP/1.1 200 OK\r\n%sX-\x01Filler: a\r\nContent-Length: 4\r\n\r\nbody",
	"vertical tab":                                "HTTP/1.1 200 OK\r\n%sX-Filler\v: a\r\nContent-Length: 4\r\n\r\nbody",
	"carriage return":                             "HTTP/1.1 200 OK\r\n%sX-Filler\r: a\r\nContent-Length: 4\r\n\r\nbody",
	"DEL":                                         "HTTP/1.1 200 OK\r\n%sX-\x7fFiller: a\r\nContent-Length: 4\r\n\r\nbody",
	"byte above 127":                              "HTTP/1.1 200 OK\r\n%sX-\xe4Filler: a\r\nContent-Length: 4\r\n\r\nbody",
	"separator":                                   "HTTP/1.1 200 OK\r\n%sX(Filler): a\r\nContent-Length: 4\r\n\r\nbody",
	"no name":                                     "HTTP/1.1 200 OK\r\n%s: a\r\nContent-Length: 4\r\n\r\nbody",
	"no colon":                                    "HTTP/1.1 200 OK\r\n%sX-Filler\r\nContent-Length: 4\r\n\r\nbody",
}

// Texts returns the answers with these fields, in the order of their names.
func Texts(answers map[string]Answer, fields string) []string {
	texts := make([]string, 0, len(answers))
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		texts = append(texts, answers[name].With(fields))
	}
	return texts
}
