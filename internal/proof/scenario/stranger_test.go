package scenario

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/foxtailhook/foxtailhook/internal/wire/peer"
)

// Constants of the protocol between daemons: the handshake, and the header of a request frame.
const (
	preamble         = "fxh2"
	nonceBytes       = 16
	proofBytes       = 32
	requestFrame     = 1
	frameHeaderBytes = 10
)

// forgedRequest is a request as daemons send it to each other.
type forgedRequest struct {
	ID           string        `msgpack:"id"`
	Organisation string        `msgpack:"organisation"`
	Operation    string        `msgpack:"operation"`
	Service      string        `msgpack:"service"`
	Method       string        `msgpack:"method"`
	Path         string        `msgpack:"path"`
	Remaining    time.Duration `msgpack:"remaining"`
	Budget       int           `msgpack:"budget"`
}

// cmdForge is forge NAME bare|guess ORGANISATION: send a request to the peers'
// port without a handshake, or with a guessed proof.
func cmdForge(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "forge NAME bare|guess ORGANISATION")
	f := fleetOf(ts)
	h := f.hosts[args[0]]
	conn, err := net.Dial("tcp", f.address(h.number, peersPort).String())
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	ts.Check(conn.SetDeadline(time.Now().Add(eventTimeout)))
	if args[1] == "guess" {
		_, err = conn.Write(append([]byte(preamble), make([]byte, nonceBytes)...))
		ts.Check(err)
		_, err = io.ReadFull(conn, make([]byte, nonceBytes))
		ts.Check(err)
		_, err = conn.Write(make([]byte, proofBytes))
		ts.Check(err)
	}
	// The daemon may have closed the connection by now.
	_, _ = conn.Write(forgedFrame(ts, h.service, args[2]))
	raw, err := io.ReadAll(conn)
	fmt.Fprintf(ts.Stdout(), "bytes=%d closed=%v\n", len(raw), !errors.Is(err, os.ErrDeadlineExceeded))
}

func forgedFrame(ts *testscript.TestScript, service, organisation string) []byte {
	payload, err := msgpack.Marshal(forgedRequest{
		ID: "forged", Organisation: organisation, Operation: "lookup.find", Service: service,
		Method: "POST", Path: "/vehicles", Remaining: sendSlack, Budget: 1000,
	})
	ts.Check(err)
	out := binary.BigEndian.AppendUint32(nil, uint32(frameHeaderBytes+len(payload)))
	out = append(out, requestFrame, byte(peer.KindCall))
	out = binary.BigEndian.AppendUint64(out, 1)
	return append(out, payload...)
}
