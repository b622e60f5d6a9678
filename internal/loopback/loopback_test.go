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

// holderVariable names an environment variable. If it is set, this test binary reserves a network, prints an address
// of it and holds it until its standard input ends.
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

// Guards against two users of the same addresses, which prevent each other's processes from listening. This was
// observed as commands that no control process accepted for 30 s, and as nodes that could not start.
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

// Guards against reserving a network that another process has reserved.
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
		assert.False(t, hosts[host], "%s is reserved by another process", host)
		hosts[host] = true
	}
	own, err := Reserve()
	require.NoError(t, err)
	assert.False(t, hosts[own.Host(1)])
	require.NoError(t, own.Release())
}

// Guards against returning an address twice while its first user is down, and against an outgoing connection taking
// the port of a returned address in the meantime: outgoing connections use 127.0.0.1 as their source.
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
