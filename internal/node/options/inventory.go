package options

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// The sources of the list, as trust names them.
const (
	SourceDiscovery = "discovery"
	SourceEtcd      = "etcd"
	SourceFiles     = "files"
)

// Inventory is where the list of hosts comes from, a table a source.
type Inventory struct {
	// Trust are the sources that are asked, from the most trusted: `discovery`, `etcd`, `files`. The list follows the first
	// of them that has given one and is not away for longer than its `keep`. Empty is discovery alone.
	Trust []string `toml:"trust" default:"[]"`
	// Out are raters that get no new work, by name, listed or not: as a policy, for the whole fleet (linenwheel raters).
	Out []string `toml:"out" default:"[]" reload:"now"`
	// MostHosts is how many hosts a list may have, where not discovery alone is asked.
	MostHosts int       `toml:"most_hosts" default:"20000" min:"1" max:"1000000"`
	Discovery Discovery `toml:"discovery"`
	Etcd      Etcd      `toml:"etcd"`
	Files     Files     `toml:"files"`
	Guard     Guard     `toml:"guard"`
	Last      Last      `toml:"last"`
}

// Discovery is the platform's own list and its watch. The calls to the agent of etcd are made in the same times.
type Discovery struct {
	// FetchLimit is the time for a call that asks for the whole list.
	FetchLimit Duration `toml:"fetch_limit" default:"1s" min:"10ms" max:"1h" reload:"now"`
	// WatchWait is how long discovery may hold a call that waits for changes. Silence is noticed after this and
	// watch_slack.
	WatchWait Duration `toml:"watch_wait" default:"2s" min:"10ms" max:"1h" reload:"now"`
	// WatchSlack is how long after watch_wait the answer may come.
	WatchSlack Duration `toml:"watch_slack" default:"1s" min:"10ms" max:"1h" reload:"now"`
	// FirstPause is the time before a failed call is made again, doubled with each further one.
	FirstPause Duration `toml:"first_pause" default:"25ms" min:"1ms" max:"1h" reload:"now"`
	// LastPause is where the doubling ends. Where the platform pushes the list, it ends at half of its grace for drains.
	LastPause Duration `toml:"last_pause" default:"1s" min:"1ms" max:"1h" reload:"now"`
	// ListMost is how large an answer may be. The platform's protocol has 64 KiB, which is some 400 hosts.
	ListMost Size `toml:"list_most" default:"64KiB" min:"1KiB" max:"256MiB"`
	// Keep is how long its last word counts while it is away, where it is not the only source.
	Keep Duration `toml:"keep" default:"1m" min:"0s" max:"8760h" reload:"now"`
}

// Etcd is the list under a prefix of an etcd cluster. A program of its own, `linenwheel-etcd`, reads and watches it and
// answers the nodes of its machine; it takes this table from the same file.
type Etcd struct {
	// Agent is where that program answers: an address of this machine alone.
	Agent string `toml:"agent" default:"127.0.0.1:2390"`
	// Keep is how long its last word counts while it, or etcd behind it, is away.
	Keep Duration `toml:"keep" default:"10m" min:"0s" max:"8760h" reload:"now"`
	// History is the only cluster that is taken: its id in hexadecimal digits. If a backup was taken for the cluster that it
	// was made of, a slash and any word behind it tell that history from the one before. Empty takes the first that is seen.
	History string `toml:"history" default:"" reload:"now"`
	// Endpoints are the members' addresses, host:port, tried in turn.
	Endpoints []string `toml:"endpoints" default:"[]" reload:"now"`
	// Prefix is what stands before a host's name in its key.
	Prefix string `toml:"prefix" default:"/linenwheel/raters/" reload:"now"`
	// User is who asks; empty = nobody in particular.
	User string `toml:"user" default:"" reload:"now"`
	// Password is that of the user.
	Password string `toml:"password" default:"" reload:"now" secret:"true"`
	// PasswordFile is a file that holds it, in place of password.
	PasswordFile string `toml:"password_file" default:"" reload:"now"`
	// CAFile holds the certificates, in PEM, that the members' are checked against. Empty = connections are not encrypted,
	// unless tls is true.
	CAFile string `toml:"ca_file" default:"" reload:"now"`
	// CertFile and key_file are what the agent proves itself with to the members, in PEM.
	CertFile string `toml:"cert_file" default:"" reload:"now"`
	// KeyFile is the key of cert_file.
	KeyFile string `toml:"key_file" default:"" reload:"now"`
	// ServerName is the name that the members' certificates must have; empty = that of the endpoint.
	ServerName string `toml:"server_name" default:"" reload:"now"`
	// TLS encrypts connections, and checks members against the machine's own certificates if there is no ca_file.
	TLS bool `toml:"tls" default:"false" reload:"now"`
	// CallLimit is the time for one call.
	CallLimit Duration `toml:"call_limit" default:"2s" min:"10ms" max:"1h" reload:"now"`
	// AskEvery is the time between two questions of how far the watch has come. A change of the keys is told without one.
	AskEvery Duration `toml:"ask_every" default:"1s" min:"10ms" max:"1h" reload:"now"`
	// Silence is the time without a word after which the watch is dead.
	Silence Duration `toml:"silence" default:"3s" min:"20ms" max:"1h" reload:"now"`
	// CheckEvery is the time between two checks that nothing was missed, which read all keys without their values.
	CheckEvery Duration `toml:"check_every" default:"1m" min:"100ms" max:"24h" reload:"now"`
	// FirstPause is the time before the endpoints are tried again once all have failed, doubled with each further time.
	FirstPause Duration `toml:"first_pause" default:"25ms" min:"1ms" max:"1h" reload:"now"`
	// LastPause is where the doubling ends.
	LastPause Duration `toml:"last_pause" default:"1s" min:"1ms" max:"1h" reload:"now"`
}

// Files is a list in a file, or in the files of a folder.
type Files struct {
	// Path is that file (.toml or .json), or the folder of them. Empty is none.
	Path string `toml:"path" default:""`
	// Folder says that the path is a folder.
	Folder bool `toml:"folder" default:"false"`
	// Settle is for how long a file without a count or a checksum must not have changed to be taken.
	Settle Duration `toml:"settle" default:"50ms" min:"1ms" max:"1m"`
	// Poll is the time between two looks, should a notification be lost.
	Poll Duration `toml:"poll" default:"5s" min:"10ms" max:"24h" reload:"now"`
	// Most is how many bytes all files together may have.
	Most Size `toml:"most" default:"16MiB" min:"1KiB" max:"256MiB"`
	// Keep is how long the last good list counts once the files are gone or cannot be used.
	Keep Duration `toml:"keep" default:"24h" min:"0s" max:"8760h" reload:"now"`
}

// Guard says how much of the fleet may depart at once: drain, leave or move to another address. It stands before every
// source but discovery. The drain of a single host is never held.
type Guard struct {
	// Share is the part of the hosts that serve of which a version, and all versions within window together, may have
	// depart. What is more asks for a second look. 1 is all.
	Share float64 `toml:"share" default:"0.5" min:"0.01" max:"1" reload:"now"`
	// Window is the time within which departures are added up. A host that is back does not count.
	Window Duration `toml:"window" default:"30s" min:"0s" max:"24h" reload:"now"`
	// Floor is how many hosts must go on serving. What leaves fewer has to be confirmed by whoever writes the list.
	Floor int `toml:"floor" default:"1" min:"0" max:"1000000" reload:"now"`
	// Wait is the time before the second look: what stands for that long, and when the list is read anew, is taken.
	Wait Duration `toml:"wait" default:"10s" min:"100ms" max:"1h" reload:"now"`
	// Discovery says that discovery is held to this too. By the platform's rules what it says has been told, held or not:
	// a relay 500 ms after a drain that the guard holds breaks them.
	Discovery bool `toml:"discovery" default:"false" reload:"now"`
}

// Last is the last good list on disk, for a start at which no source can be asked.
type Last struct {
	// Path is its file; it belongs to one node. Empty is none.
	Path string `toml:"path" default:""`
	// Every is the least time between two writes.
	Every Duration `toml:"every" default:"1s" min:"10ms" max:"1h" reload:"now"`
	// JudgeFor is how old the list may be for the departures in the first word of a source to be judged by it.
	JudgeFor Duration `toml:"judge_for" default:"10m" min:"0s" max:"24h"`
}

// Sources are the sources that are asked, in the order of trust.
func (i *Inventory) Sources() []string {
	if len(i.Trust) == 0 {
		return []string{SourceDiscovery}
	}
	return i.Trust
}

// Plain tells that the list is discovery's, as it is.
func (i *Inventory) Plain() bool {
	return slices.Equal(i.Sources(), []string{SourceDiscovery}) && !i.Guard.Discovery && i.Last.Path == ""
}

// Check reports sources that there are not, and those that are half switched on.
func (i *Inventory) Check(report Report) {
	for n, name := range i.Trust {
		switch {
		case name != SourceDiscovery && name != SourceEtcd && name != SourceFiles:
			report(fmt.Sprintf("trust has %q, which is none of discovery, etcd, files", name), "trust")
		case slices.Index(i.Trust, name) != n:
			report(fmt.Sprintf("trust has %q twice", name), "trust")
		}
	}
	files := slices.Contains(i.Trust, SourceFiles)
	if files && i.Files.Path == "" {
		report("trust has files, but files.path is empty", "trust", "files.path")
	}
	if !files && i.Files.Path != "" {
		report("files.path is set, but trust does not have files", "files.path", "trust")
	}
}

// Check reports pauses that shrink.
func (d *Discovery) Check(report Report) { checkPauses(d.FirstPause, d.LastPause, report) }

func checkPauses(first, last Duration, report Report) {
	if first.Ms > last.Ms {
		report(fmt.Sprintf("first_pause, %v, is longer than last_pause, %v", first, last), "first_pause", "last_pause")
	}
}

// Check reports an agent that others could ask, a history that is none, and credentials that lack a part.
func (e *Etcd) Check(report Report) {
	checkPauses(e.FirstPause, e.LastPause, report)
	if at, err := netip.ParseAddrPort(e.Agent); err != nil {
		report(fmt.Sprintf("agent: %v", err), "agent")
	} else if !at.Addr().IsLoopback() {
		report(fmt.Sprintf("agent, %s, is not an address of this machine alone: it answers whoever asks", e.Agent), "agent")
	}
	id, _, _ := strings.Cut(e.History, "/")
	if n, err := strconv.ParseUint(id, 16, 64); e.History != "" && (err != nil || n == 0) {
		report(fmt.Sprintf("history, %q, does not begin with a cluster's id in hexadecimal digits", e.History), "history")
	}
	if e.AskEvery.Ms >= e.Silence.Ms {
		report(fmt.Sprintf("ask_every, %v, is not shorter than silence, %v", e.AskEvery, e.Silence), "ask_every", "silence")
	}
	if e.Password != "" && e.PasswordFile != "" {
		report("password and password_file stand for the same", "password", "password_file")
	}
	if (e.Password != "" || e.PasswordFile != "") && e.User == "" {
		report("a password without a user", "user", "password", "password_file")
	}
	if (e.CertFile == "") != (e.KeyFile == "") {
		report("cert_file and key_file need each other", "cert_file", "key_file")
	}
	if e.Prefix == "" {
		report("prefix is empty: every key of the cluster would be a host", "prefix")
	}
}
