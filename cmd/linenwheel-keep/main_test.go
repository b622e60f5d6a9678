package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/loopback"
	"linenwheel.dev/linenwheel/internal/node/consensus/backup"
	"linenwheel.dev/linenwheel/internal/node/consensus/client"
	"linenwheel.dev/linenwheel/internal/node/consensus/protocol"
	"linenwheel.dev/linenwheel/internal/node/statemachine"
)

// Guards against a keeper that starts without knowing who it is, and against a bad file that is told without its place.
func TestBadConfiguration(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "peers.fleet is empty"},
		{"[peers]\nfleet = \"f\"\nkeepers = [\"a\"]\n[[peers.member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n", "peers.name is empty"},
		{"[peers]\nfleet = \"f\"\nname = \"b\"\nkeepers = [\"a\"]\n[[peers.member]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n", `no "b"`},
		{"[peers]\nfleet = \"f\"\nkeepers = [\"a\", \"b\"]\n", "o.toml:3:1: peers.keepers"},
		{"[peers]\nfleet = \"f\"\nkeepers = [\"a\"]\nelection = \"50ms\"\n[[peers.member]]\nname = \"a\"\naddress = \"h:1\"\n", "less than three times heartbeat"},
		{"[[peers.member]]\nname = \"a\"\naddress = \"nowhere\"\n", "wants HOST:PORT"},
	} {
		path := filepath.Join(t.TempDir(), "o.toml")
		require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		var errs bytes.Buffer
		assert.Equal(t, 2, run(context.Background(), []string{"-options", path}, func(string) string { return "" }, &errs), c.text)
		assert.Contains(t, errs.String(), c.want)
	}
}

// Guards against a fleet whose majority burnt that cannot go on, that goes on without saying what may be lost or without being told
// to, that loses what its last keeper held, and against keepers of the fleet before that come back and vote.
func TestRecover(t *testing.T) {
	dir, members := t.TempDir(), ""
	set := client.Config{Name: "test", AttemptTimeout: 10 * time.Second}
	for _, name := range []string{"a", "b", "c"} {
		address, err := loopback.FreeAddress()
		require.NoError(t, err)
		set.Replicas = append(set.Replicas, client.Replica{Name: name, Address: address})
		members += fmt.Sprintf("[[peers.member]]\nname = %q\naddress = %q\n", name, address)
	}
	options := func(fleet string) string {
		path := filepath.Join(dir, fleet+".toml")
		text := fmt.Sprintf("[peers]\nfleet = %q\nkeepers = [\"a\", \"b\", \"c\"]\ndirectory = %q\nelection = \"1s\"\nheartbeat = \"100ms\"\n", fleet, dir)
		require.NoError(t, os.WriteFile(path, []byte(text+members), 0o600))
		return path
	}
	start := func(fleet, name string) (stop func() string) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan string, 1)
		go func() { // senders that end log a little longer than the keeper runs
			log, err := os.CreateTemp(dir, "log")
			if err != nil {
				ended <- err.Error()
				return
			}
			run(ctx, []string{"-options", options(fleet), "-name", name}, func(string) string { return "" }, log)
			text, err := os.ReadFile(log.Name())
			ended <- fmt.Sprint(string(text), err)
		}()
		return func() string { cancel(); return <-ended }
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute) // it only ends what hangs
	defer cancel()
	ask := func(fleet, name string, r protocol.Request) *protocol.State {
		set.Fleet = fleet
		for _, k := range set.Replicas {
			for k.Name == name && ctx.Err() == nil {
				if a, err := client.Call(ctx, set, k, r); err == nil {
					return a.State
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		require.NoError(t, ctx.Err())
		return nil
	}
	var stops []func() string
	var founders []statemachine.Member
	for _, k := range set.Replicas {
		stops = append(stops, start("old", k.Name))
		founders = append(founders, statemachine.Member{ID: ask("old", k.Name, protocol.Request{Kind: protocol.Status}).ID, Name: k.Name, Address: k.Address})
	}
	for _, k := range set.Replicas {
		ask("old", k.Name, protocol.Request{Kind: protocol.Bootstrap, Members: founders, Now: 1e12})
	}
	old := client.New(set)
	_, err := old.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "city", Value: "Brno"})
	require.NoError(t, err)
	index, image, err := old.Backup(ctx)
	require.NoError(t, err)
	copied := filepath.Join(dir, "copy")
	require.NoError(t, backup.Write(copied, "old", index, image))
	require.Error(t, backup.Write(copied, "old", index, image), "it is there")
	stops[2]() // c does not hear of what comes now
	_, err = old.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "city", Value: "Brno again"})
	require.NoError(t, err)
	old.Close()
	for _, stop := range stops[:2] {
		stop()
	}
	rescue := func(want int, fleet, name string, more ...string) string {
		var errs bytes.Buffer
		args := append([]string{"-options", options(fleet), "-name", name, "-recover", "old"}, more...)
		assert.Equal(t, want, run(ctx, args, func(string) string { return "" }, &errs), errs.String())
		return errs.String()
	}
	upTo := func(said string) (last int) { // what operators tell two that are left by
		_, rest, _ := strings.Cut(said, "holds entries up to ")
		_, err := fmt.Sscan(strings.TrimRight(strings.Fields(rest)[0], ","), &last)
		require.NoError(t, err, said)
		return last
	}
	assert.Contains(t, rescue(0, "new", "a"), "Nothing was done")
	assert.Greater(t, upTo(rescue(0, "new", "a")), upTo(rescue(0, "new", "c")))
	assert.Contains(t, rescue(1, "old", "a", "-yes"), "needs a different name from the lost one")
	rescue(0, "wrong", "c", "-yes") // the one that holds less is gone on with by mistake
	stop := start("wrong", "c")
	mistaken := client.New(client.Config{Fleet: "wrong", Name: "test", Replicas: set.Replicas, AttemptTimeout: time.Second})
	reply, err := mistaken.Read(ctx, statemachine.ComponentRegister, statemachine.Get{Name: "city"})
	require.NoError(t, err)
	mistaken.Close()
	assert.Contains(t, string(reply.Body), `"Brno"`, "what was agreed last is missing, and it was told so")
	assert.Contains(t, start("wrong", "a")(), `directory is of replica "a" of fleet "old"`, "what holds more is not thrown away for it")
	stop()
	require.NoError(t, os.RemoveAll(filepath.Join(dir, "c")))
	said := rescue(0, "new", "a", "-yes") // under a third name all is there
	assert.Contains(t, said, "goes on with this keeper alone")
	assert.Contains(t, said, "is out for good")
	defer start("new", "a")()
	now := client.New(client.Config{Fleet: "new", Name: "test", Replicas: set.Replicas, AttemptTimeout: 10 * time.Second})
	defer now.Close()
	index, image, err = now.Backup(ctx)
	require.NoError(t, err)
	running := filepath.Join(dir, "copy-of-new")
	require.NoError(t, backup.Write(running, "new", index, image))
	r, err := now.Read(ctx, statemachine.ComponentRegister, statemachine.Get{Name: "city"})
	require.NoError(t, err)
	assert.Contains(t, string(r.Body), "Brno again")
	assert.Contains(t, start("new", "b")(), `directory is of replica "b" of fleet "old"`, "a folder of the fleet before")
	require.NoError(t, os.RemoveAll(filepath.Join(dir, "b")))
	defer start("new", "b")()
	fresh := statemachine.Member{ID: ask("new", "b", protocol.Request{Kind: protocol.Status}).ID, Name: "b", Address: set.Replicas[1].Address}
	require.NoError(t, now.Change(ctx, protocol.AddLearner, fresh))
	for ctx.Err() == nil && ask("new", "b", protocol.Request{Kind: protocol.Status}).Applied == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	_, err = now.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "city", Value: "Praha"})
	require.NoError(t, err)
	var errs bytes.Buffer // one more fleet, from a copy of the one that runs beside it
	raise := []string{"-options", options("third"), "-name", "c", "-raise", running, "-yes"}
	assert.Equal(t, 0, run(ctx, raise, func(string) string { return "" }, &errs), errs.String())
	defer start("third", "c")()
	third := client.New(client.Config{Fleet: "third", Name: "test", Replicas: set.Replicas, AttemptTimeout: 10 * time.Second})
	defer third.Close()
	r, err = third.Read(ctx, statemachine.ComponentRegister, statemachine.Get{Name: "city"})
	require.NoError(t, err)
	assert.Contains(t, string(r.Body), `"Brno again"`)
	_, err = third.Do(ctx, statemachine.ComponentRegister, statemachine.Set{Name: "city", Value: "Ostrava"})
	require.NoError(t, err)
	r, err = now.Read(ctx, statemachine.ComponentRegister, statemachine.Get{Name: "city"})
	require.NoError(t, err)
	assert.Contains(t, string(r.Body), `"Praha"`, "each is a fleet of its own")
	image[len(image)/2]++
	damaged := filepath.Join(dir, "damaged")
	require.NoError(t, backup.Write(damaged, "old", index, nil))
	text, err := os.ReadFile(damaged)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(damaged, append(text, image...), 0o600))
	assert.Equal(t, 1, run(ctx, []string{"-options", options("fourth"), "-name", "c", "-raise", damaged}, func(string) string { return "" }, &errs))
	assert.Contains(t, errs.String(), "is damaged")
}
