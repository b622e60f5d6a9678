// Package loopback hands out loopback addresses that no other process of the machine uses, for tests and for the lab.
//
// A connection whose source address nobody chose leaves from 127.0.0.1 and takes one of its ports, perhaps the one on which a server
// listened a moment ago. A server that is started later, or stopped and started again, therefore needs an address at which nothing else
// takes ports. Linux routes all of 127.0.0.0/8 to the loopback interface (RFC 1122, 3.2.1.3), so each process can have networks of its
// own.
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

	// Hosts is how many host numbers a network has: 1 to Hosts.
	Hosts = 250

	// freeTries bounds how often FreeAddress meets an address that it returned before.
	freeTries = 1000
)

var (
	// ErrNoNetwork says that processes of this machine use every network.
	ErrNoNetwork = errors.New("loopback: every network is in use")
	// ErrNoAddress says that a network found no address that it had not returned before.
	ErrNoAddress = errors.New("loopback: no free address")
)

// Network is a /24 network of the loopback range that belongs to whoever reserved it until Release, or until the process ends. Its
// methods may be called from any goroutine.
type Network struct {
	number int
	lock   net.Listener // at a name of the kernel's abstract namespace, which is gone with the process at the latest

	mu       sync.Mutex
	returned map[string]bool // by FreeAddress
}

// Reserve returns a network that nothing else on this machine has reserved, or ErrNoNetwork.
func Reserve() (*Network, error) {
	for number := range networks {
		lock, err := net.Listen("unix", "@linenwheel-loopback-"+strconv.Itoa(number))
		if err == nil {
			return &Network{number: number, lock: lock, returned: map[string]bool{}}, nil
		}
	}
	return nil, ErrNoNetwork
}

// Release gives the network back. Nothing may listen in it any longer.
func (n *Network) Release() error { return n.lock.Close() }

// Host returns the IP address of a host, whose number is from 1 to Hosts.
func (n *Network) Host(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstSubnet+n.number/256, n.number%256, number)
}

// FreeAddress returns a host and port at which nothing listens and which it has never returned before. Nothing else listens there unless
// it chose the address itself, so the address stays free until its user listens on it, and between two starts of its user. The error is
// ErrNoAddress or that of listening.
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

// unusedAddress returns an address of the host at which nothing listens.
func (n *Network) unusedAddress(host int) (string, error) {
	listener, err := net.Listen("tcp4", n.Host(host)+":0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// process is the network of this process, reserved at its first use.
var process = sync.OnceValues(Reserve)

// FreeAddress returns an address of the process's own network; see Network.FreeAddress. The error may be ErrNoNetwork.
func FreeAddress() (string, error) {
	network, err := process()
	if err != nil {
		return "", err
	}
	return network.FreeAddress()
}

// sharedHost is above all hosts of FreeAddress.
const sharedHost = Hosts + 1

// Host returns the IP address at which this process alone listens on ports that the kernel chooses (port 0). It differs from the hosts
// of FreeAddress. The error may be ErrNoNetwork.
func Host() (string, error) {
	network, err := process()
	if err != nil {
		return "", err
	}
	return network.Host(sharedHost), nil
}
