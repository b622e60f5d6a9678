package loopback

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// holderVariable, set to any value, has this test binary print the network it reserved and hold it until its input ends.
const holderVariable = "LINENWHEEL_LOOPBACK_HOLDER"

func TestMain(m *testing.M) {
	if os.Getenv(holderVariable) == "" {
		os.Exit(m.Run())
	}
	network, err := Reserve()
	if err != nil {
		panic(err)
	}
	_, _ = os.Stdout.WriteString(network.Host(1) + "\n")
	_, _ = os.Stdin.Read(make([]byte, 1))
	os.Exit(0)
}

// Guards against two users on the same addresses, which stop each other's processes from listening: seen as orders that no control
// process accepts for 30 s, and as nodes that cannot start.
func TestNetworksAreNotShared(t *testing.T) {
	first, err := Reserve()
	require.NoError(t, err)
	second, err := Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = second.Release() })
	assert.NotEqual(t, first.Host(1), second.Host(1))
	require.NoError(t, first.Release())
	again, err := Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = again.Release() })
	assert.NotEqual(t, second.Host(1), again.Host(1))
}

// Guards against a network that another process has.
func TestProcessesDoNotShareANetwork(t *testing.T) {
	hosts := map[string]bool{}
	for range 3 {
		holder := exec.CommandContext(t.Context(), os.Args[0])
		holder.Env = append(os.Environ(), holderVariable+"=1")
		_, err := holder.StdinPipe()
		require.NoError(t, err)
		output, err := holder.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, holder.Start())
		t.Cleanup(func() { _ = holder.Process.Kill(); _ = holder.Wait() })
		line := make([]byte, len("127.255.255.255\n"))
		length, err := output.Read(line)
		require.NoError(t, err)
		host := strings.TrimSpace(string(line[:length]))
		assert.False(t, hosts[host], "%s is another process's", host)
		hosts[host] = true
	}
	own, err := Reserve()
	require.NoError(t, err)
	assert.False(t, hosts[own.Host(1)])
	require.NoError(t, own.Release())
}

// Guards against an address that is returned twice while its first user is down, and against the port of an address that a connection
// takes meanwhile: connections leave from 127.0.0.1.
func TestAFreeAddressIsReturnedOnce(t *testing.T) {
	network, err := Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = network.Release() })
	seen := map[string]bool{}
	for range 3 * Hosts {
		address, err := network.FreeAddress()
		require.NoError(t, err)
		require.False(t, seen[address], address)
		seen[address] = true
	}
	address, err := FreeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	connection, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	source, _, err := net.SplitHostPort(connection.LocalAddr().String())
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1", source)
	host, err := Host()
	require.NoError(t, err)
	assert.NotContains(t, address, host+":")
}
