// Package loopback chooses addresses for stand-ins and for the programs that they test.
package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// Address returns an address on one of the loopback IPs of this process, which its process ID gives. host is 1 to 254.
func Address(host, port int) string {
	process := os.Getpid()
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 64+process>>8&63, process&255, host), strconv.Itoa(port))
}

// addressCount is the number of addresses that UnusedAddress has returned.
var addressCount atomic.Uint32

// UnusedAddress returns a loopback address that no one else listens on. The IP is derived from the process ID and the
// call count: on a shared IP another process or an outgoing connection could take the port before the caller listens.
func UnusedAddress() (string, error) {
	const hostCount = 250
	listener, err := net.Listen("tcp4", Address(int(1+addressCount.Add(1)%hostCount), 0))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
