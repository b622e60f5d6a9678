package fleet

import (
	"errors"
	"fmt"
	"net"
)

// reservedHost is the last byte of the address that a fleet listens on for as long as it uses a network. No machine has it.
const reservedHost = 254

// errNoNetwork says that other fleets use all networks of a subnet.
var errNoNetwork = errors.New("fleet: no free loopback network")

// network is one 127.SUBNET.NUMBER.0/24 of the loopback range that no other fleet on this machine uses, also none of another
// process: tests and demos may run side by side.
type network struct {
	number   byte
	listener net.Listener
}

// reserveNetwork returns the first free network of a subnet. It is free again after release.
func reserveNetwork(subnet byte, port int) (*network, error) {
	for number := range 256 {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:%d", subnet, number, reservedHost, port))
		if err == nil {
			return &network{number: byte(number), listener: listener}, nil
		}
	}
	return nil, errNoNetwork
}

func (n *network) release() error { return n.listener.Close() }
