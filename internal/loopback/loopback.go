// Package loopback allocates loopback addresses that no other process on the machine uses, for tests and for the lab.
//
// A connection that is not bound to a source address uses 127.0.0.1 and one of its ephemeral ports, possibly the one
// on which a server listened a moment ago. A server that is started later, or restarted, therefore needs an address
// on which nothing else allocates ports. Linux routes all of 127.0.0.0/8 to the loopback interface (RFC 1122,
// 3.2.1.3), so each process can have its own networks.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
)

const (
	firstSubnet = 252 // networks are 127.252.0.0/24 to 127.255.255.0/24; the live lab's days use 127.2.0.0/16 to 127.251.0.0/16
	networks    = 4 * 256

	// Hosts is the number of hosts in a network; they are numbered 1 to Hosts.
	Hosts = 250

	// freeTries limits the attempts of FreeAddress to find an address that it has not returned before.
	freeTries = 1000
)

var (
	// ErrNoNetwork is returned when processes on this machine have reserved every network.
	ErrNoNetwork = errors.New("loopback: every network is in use")
	// ErrNoAddress is returned when a network found no address that it had not returned before.
	ErrNoAddress = errors.New("loopback: no free address")
)

// Network is a /24 network of the loopback range, reserved until Release is called or the process exits. It is safe
// for concurrent use.
type Network struct {
	number int
	lock   net.Listener // in the abstract socket namespace: the kernel releases the name when the process exits

	mu       sync.Mutex
	returned map[string]bool // addresses returned by FreeAddress
}

// Reserve reserves a network that nothing else on this machine has reserved. The error is ErrNoNetwork.
func Reserve() (*Network, error) {
	for number := range networks {
		lock, err := net.Listen("unix", "@linenwheel-loopback-"+strconv.Itoa(number))
		if err == nil {
			return &Network{number: number, lock: lock, returned: map[string]bool{}}, nil
		}
	}
	return nil, ErrNoNetwork
}

// Release ends the reservation. All listeners in the network must have been closed.
func (n *Network) Release() error { return n.lock.Close() }

// Host returns the IP address of the host with the given number, from 1 to Hosts.
func (n *Network) Host(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstSubnet+n.number/256, n.number%256, number)
}

// FreeAddress returns a host:port on which nothing listens and which it has never returned before. Nothing else
// listens there unless it selects this address explicitly, so the address stays free until the caller listens on it,
// and while the caller's server restarts. The error is ErrNoAddress or the error of listening.
func (n *Network) FreeAddress() (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for range freeTries {
		address, err := n.unusedAddress(1 + len(n.returned)%Hosts)
		if err != nil {
			return "", err
		}
		if !n.returned[address] {
			n.returned[address] = true
			return address, nil
		}
	}
	return "", ErrNoAddress
}

// unusedAddress returns an address of the host on which nothing listens.
func (n *Network) unusedAddress(host int) (string, error) {
	listener, err := net.Listen("tcp4", n.Host(host)+":0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// process returns the network of this process, which is reserved on first use.
var process = sync.OnceValues(Reserve)

// FreeAddress returns an address in the process's own network; see Network.FreeAddress. The error may also be
// ErrNoNetwork.
func FreeAddress() (string, error) {
	network, err := process()
	if err != nil {
		return "", err
	}
	return network.FreeAddress()
}

// sharedHost is greater than every host number that FreeAddress uses.
const sharedHost = Hosts + 1

// Host returns the IP address on which only this process listens on ports that the kernel chooses (port 0). It
// differs from the hosts that FreeAddress uses. The error may be ErrNoNetwork.
func Host() (string, error) {
	network, err := process()
	if err != nil {
		return "", err
	}
	return network.Host(sharedHost), nil
}
