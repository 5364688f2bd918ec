package rawhttp

// Body is the body of the answers in Sound, except for those without one.
const Body = "body"

// Sound are answers that are valid, to requests other than HEAD, with the status 200 unless their names say otherwise.
var Sound = map[string]Answer{
	"length":                   "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody",
	"ends with its connection": "HTTP/1.1 200 OK\r\n%s\r\nbody",
	"chunks":                   "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"after interim heads":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody",
	"unusual field names":      "HTTP/1.1 200 OK\r\n%sx_1!#$&'*+.^`|~: a b\r\n9: c\r\nContent-Length: 4\r\n\r\nbody",
	"unusual field values":     "HTTP/1.1 200 OK\r\n%sX-Empty:\r\nX-Blanks: \t a \t\r\nX-Text: \xe4:\r\nContent-Length: \t4 \r\n\r\nbody",
	"no reason":                "HTTP/1.1 200 \r\n%sContent-Length: 4\r\n\r\nbody",
}
