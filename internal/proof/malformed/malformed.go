package malformed

// Part is a part of a response.
type Part struct{ Name, Text string }

// Fields are lines that the head of no response may have, each with its line end.
var Fields = []Part{
	{"a blank after a name", "X-Odd : 1\r\n"},
	{"a blank in a name", "X Odd: 1\r\n"},
	{"a blank before a name", " X-Odd: 1\r\n"},
	{"a tab before a name", "\tX-Odd: 1\r\n"},
	{"a tab after a name", "X-Odd\t: 1\r\n"},
	{"NUL in a name", "X-\x00Odd: 1\r\n"},
	{"a control byte in a name", "X-Odd\x01: 1\r\n"},
	{"DEL in a name", "X-Odd\x7f: 1\r\n"},
	{"CR in a name", "X-\rOdd: 1\r\n"},
	{"a byte beyond ASCII in a name", "X-\xc3\xb6: 1\r\n"},
	{"a name that is a blank", " : 1\r\n"},
	{"an empty name", ": 1\r\n"},
	{"a line without a colon", "X-Odd\r\n"},
	{"a length with a blank after its name", "Content-Length : 1\r\n"},
	{"a length with a blank before its name", " Content-Length: 1\r\n"},
	{"an encoding with a blank after its name", "Transfer-Encoding : chunked\r\n"},
}

// Trailers are fields that may not follow the last chunk of a body, each with its line end.
var Trailers = []Part{
	{"a blank after a name", "X-Odd : 1\r\n"},
	{"a blank in a name", "X Odd: 1\r\n"},
	{"a blank before the first name", " X-Odd: 1\r\n"},
	{"NUL in a name", "X-\x00Odd: 1\r\n"},
	{"a control byte in a name", "X-Odd\x01: 1\r\n"},
	{"an empty name", ": 1\r\n"},
	{"a line without a colon", "X-Odd\r\n"},
	{"a control byte in a value", "X-Odd: \x01\r\n"},
}

// StatusLines are first lines that no HTTP/1 response may have, without their line ends.
var StatusLines = []Part{
	{"HTTP/0.9", "HTTP/0.9 200 OK"},
	{"HTTP/2.0", "HTTP/2.0 200 OK"},
	{"a version without a minor number", "HTTP/1 200 OK"},
	{"a version of another protocol", "ICY/1.1 200 OK"},
	{"a version in lower case", "http/1.1 200 OK"},
	{"a blank before the version", " HTTP/1.1 200 OK"},
	{"an empty line before it", "\r\nHTTP/1.1 200 OK"},
	{"NUL in the reason phrase", "HTTP/1.1 200 O\x00K"},
	{"a control byte in the reason phrase", "HTTP/1.1 200 O\x01K"},
	{"DEL in the reason phrase", "HTTP/1.1 200 O\x7fK"},
	{"CR in the reason phrase", "HTTP/1.1 200 O\rK"},
	{"status 000", "HTTP/1.1 000 OK"},
	{"status 099", "HTTP/1.1 099 OK"},
	{"a status of two digits", "HTTP/1.1 20 OK"},
	{"a status of four digits", "HTTP/1.1 2000 OK"},
	{"a signed status", "HTTP/1.1 +20 OK"},
	{"a status that is no number", "HTTP/1.1 2x0 OK"},
	{"no status", "HTTP/1.1"},
	{"a blank in place of a status", "HTTP/1.1 "},
}

// Bodies are the fields that frame a body, with the empty line and the bytes behind it, where the body isn't whole or its frame isn't one.
var Bodies = []Part{
	{"a body shorter than its length", "Content-Length: 5\r\n\r\nbody"},
	{"two lengths", "Content-Length: 4\r\nContent-Length: 3\r\n\r\nbody"},
	{"a list of lengths", "Content-Length: 4, 4\r\n\r\nbody"},
	{"a signed length", "Content-Length: +4\r\n\r\nbody"},
	{"a length below 0", "Content-Length: -1\r\n\r\nbody"},
	{"an empty length", "Content-Length:\r\n\r\nbody"},
	{"a length beyond 64 bits", "Content-Length: 99999999999999999999\r\n\r\nbody"},
	{"another encoding", "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{"an encoding twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{"an empty encoding", "Transfer-Encoding:\r\nContent-Length: 4\r\n\r\nbody"},
	{"a chunk shorter than its size", "Transfer-Encoding: chunked\r\n\r\n5\r\nbody\r\n0\r\n\r\n"},
	{"a chunk longer than its size", "Transfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n"},
	{"a signed size of a chunk", "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n"},
	{"an empty size of a chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n\r\n0\r\n\r\n"},
	{"chunks whose lines end with LF", "Transfer-Encoding: chunked\r\n\r\n4\nbody\n0\n\n"},
	{"no last chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
	{"no end after the last chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"},
}
