package node

import (
	"strings"
	"testing"
)

// abbreviations expands the abbreviations in the steps below: the header fields that a request must have, and those of a
// response.
var abbreviations = strings.NewReplacer("$F", `Host: x\r\nReq-Id: q\r\nReq-Deadline-Ms: 900\r\n`,
	"$DATE", "Date: Tue, 14 Nov 2023 22:13:20 GMT", "$TEXT", `Content-Type: text/plain; charset=utf-8\r\n`)

// Each scenario can be caused by a client or a host; docs/design/http1.md names them by their guards.
var httpScenarios = []struct{ guards, steps string }{
	{"a client left waiting for leave to send its body", `
		a send raw "POST /pay/1 HTTP/1.1\r\n$FExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n"
		a expect raw "HTTP/1.1 100 Continue\r\n\r\n"
		a send raw "hi"
		r expect POST /pay/1 body=hi Expect=
		r send 200 body=ok
		a expect raw "HTTP/1.1 200 OK\r\n"
		b send raw "POST /alert/1 HTTP/1.1\r\n$FIdempotency-Key: k\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
		b expect raw "HTTP/1.1 100 Continue\r\n\r\n"
		b send raw "2\r\nhi\r\n0\r\n\r\n"
		s expect POST /alert/1 body=hi Transfer-Encoding= Content-Length=2`},
	{"leave to send a body given before the answer to the request before it, or twice", `
		a send raw "POST /pay/1 HTTP/1.1\r\n$FContent-Length: 0\r\n\r\nPOST /pay/2 HTTP/1.1\r\n$FExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
		r expect POST /pay/1
		r send 200 body=one
		a expect 200 body=one
		a expect raw "HTTP/1.1 100 Continue\r\n\r\n"
		a send raw "h"
		wait 1
		a send raw "igh"
		s expect POST /pay/2 body=high
		s send 200 body=two
		a expect raw "HTTP/1.1 200 OK\r\n"`},
	{"leave to send what is refused by its head, and a body read as a request", `
		a send raw "POST /nothing HTTP/1.1\r\n$FExpect: 100-continue\r\nContent-Length: 22\r\n\r\n"
		a expect raw "HTTP/1.1 404 Not Found\r\n"
		a send raw "GET /up HTTP/1.1\r\n\r\n\r\n"
		a expect raw "*\r\n*\r\nContent-Length: 14\r\nConnection: close\r\n\r\nunknown class\n"
		wait 500
		a expect close
		b send raw "POST /look/1 HTTP/1.1\r\n$FExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
		b expect 405 Allow=GET Connection=close
		c send raw "POST /pay/1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
		c expect 400 Connection=close
		e send raw "POST /pay/1 HTTP/1.1\r\n$FExpect: 100-continue\r\nContent-Length: 33554433\r\n\r\n"
		e expect 413 Connection=close
		f send raw "POST /pay/1 HTTP/1.1\r\n$FExpect: 100-continue, a-pony\r\nContent-Length: 2\r\n\r\n"
		f expect 417 Connection=close`},
	{"an interim answer to one that cannot read it, or that did not wait for it", `
		a send raw "POST /pay/1 HTTP/1.0\r\n$FExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
		wait 1
		a send raw "hi"
		r expect POST /pay/1 body=hi
		r send 200 body=ok
		a expect raw "HTTP/1.1 200 OK\r\n"
		b send raw "POST /pay/1 HTTP/1.1\r\n$FExpect: 100-continue\r\nContent-Length: 2\r\n\r\nh"
		wait 1
		b send raw "i"
		s expect POST /pay/1 body=hi
		s send 200 body=ok
		b expect raw "HTTP/1.1 200 OK\r\n"
		wait 10
		c send raw "GET /look/1 HTTP/1.1\r\n$FExpect: 100-continue\r\n\r\n"
		t expect GET /look/1
		t send 200 body=ok
		c expect raw "HTTP/1.1 200 OK\r\n"`},
	{"a client that has leave to send its body and never does", `
		a send raw "POST /pay/1 HTTP/1.1\r\n$FExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
		a expect raw "HTTP/1.1 100 Continue\r\n\r\n"
		wait 2400
		wait 100
		a expect 400 Connection=close
		wait 500
		a expect close`},
	{"an answer to HEAD with a body, which the client would read as the next answer", `
		a send raw "HEAD /pay/1 HTTP/1.1\r\n$F\r\nHEAD /nothing HTTP/1.1\r\n$F\r\nHEAD /up HTTP/1.1\r\n$F\r\nGET /up HTTP/1.1\r\n$F\r\n"
		a expect raw "HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\n$TEXT$DATE\r\n\r\n"
		a expect raw "HTTP/1.1 404 Not Found\r\n$TEXT$DATE\r\nContent-Length: 14\r\n\r\n"
		a expect raw "HTTP/1.1 200 OK\r\n$TEXT$DATE\r\nContent-Length: 6\r\n\r\n"
		a expect raw "HTTP/1.1 200 OK\r\n$TEXT$DATE\r\nContent-Length: 6\r\n\r\nready\n"
		a send raw "HEAD /pay/1 HTTP/1.1\r\n$FContent-Length: x\r\n\r\n"
		a expect raw "HTTP/1.1 400 Bad Request\r\n$TEXT$DATE\r\nContent-Length: 23\r\nConnection: close\r\n\r\n"
		wait 500
		a expect close`},
	{"methods that no class has being passed on, or refused without saying which there are", `
		a send OPTIONS /pay/1
		a expect 405 Allow=POST
		a send TRACE /look/1
		a expect 405 Allow=GET
		a send post /pay/1
		a expect 405 Allow=POST
		a send DELETE /up
		a expect raw "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET, HEAD\r\n"
		a expect raw "*\r\n*\r\n*\r\n\r\nthis wants GET\n"`},
	{"a target that names no path taken for another protocol's, or a tunnel opened", `
		b send raw "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"
		b expect raw "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET, HEAD, POST\r\n"
		c send raw "CONNECT x:80 HTTP/1.1\r\nHost: x:80\r\n\r\nSSH-2.0-x\r\n"
		c expect raw "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET, HEAD, POST\r\n$TEXT*\r\n*\r\nConnection: close\r\n"
		wait 500
		c expect close`},
	{"a target in absolute form refused, or passed on as it came", `
		a send raw "POST http://y:81/pay/1?x=http://z/ HTTP/1.1\r\n$FContent-Length: 2\r\n\r\nhi"
		r expect POST /pay/1?x=http://z/ body=hi
		r send 200 body=ok
		a expect 200 body=ok
		a send raw "GET HTTP://[::1]:8080 HTTP/1.1\r\nHost:\r\n\r\n"
		a expect 404
		a send raw "GET http://y?x HTTP/1.1\r\nHost: x\r\n\r\n"
		a expect 404
		a send raw "GET http://y/up HTTP/1.1\r\nHost: x\r\n\r\n"
		a expect 200
		a send raw "OPTIONS http://y HTTP/1.1\r\nHost: y\r\n\r\n"
		a expect raw "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET, HEAD, POST\r\n"`},
	{"a request without a Host being served, but for HTTP/1.0", `
		a send raw "GET /up HTTP/1.1\r\n\r\n"
		a expect 400 Connection=close
		b send raw "GET /up HTTP/1.1\r\nHost: x\r\nhost: x\r\n\r\n"
		b expect 400 Connection=close
		c send raw "GET /up HTTP/1.1\r\nHost: x/y\r\n\r\n"
		c expect 400 Connection=close
		e send raw "GET /up HTTP/1.0\r\n\r\n"
		e expect 200 Connection=close
		e expect close`},
	{"an old client that waits for the end of a connection that is kept, or one that is closed unasked", `
		a send raw "GET /up HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n"
		a expect 200 Connection=keep-alive
		a send raw "GET /up HTTP/1.0\r\nConnection: close, keep-alive\r\n\r\n"
		a expect 200 Connection=close
		a expect close
		b send raw "GET /up HTTP/1.2\r\nHost: x\r\n\r\n"
		b expect 200 Connection=
		b send raw "GET /up HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Close\r\n\r\n"
		b expect 200 Connection=close
		b expect close`},
	{"another protocol left without an answer that it can read", `
		a send raw "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
		a expect 505 Connection=close
		wait 500
		a expect close
		b send raw "GET /up HTTP/3.0\r\nHost: x\r\n\r\n"
		b expect 505 Connection=close
		c send raw "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"
		c expect 400 Connection=close
		e send raw "GET /up HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n\r\n"
		e expect 200 Upgrade= Connection=`},
	{"a head without bound, or a coding that cannot be read, answered in a way that does not say so", `
		a send raw "GET /` + strings.Repeat("x", 16<<10) + `"
		a expect 414 Connection=close
		b send raw "GET /up HTTP/1.1\r\nHost: x\r\nA: ` + strings.Repeat("x", 16<<10) + `"
		b expect 431 Connection=close
		c send raw "GET /up HTTP/1.1\r\nHost: x\r\n` + strings.Repeat(`A: 1\r\n`, 64) + `\r\n"
		c expect 431 Connection=close
		e send raw "POST /pay/1 HTTP/1.1\r\n$FTransfer-Encoding: gzip, chunked\r\n\r\n"
		e expect 501 Connection=close`},
	{"what belongs to one connection being passed on, or what the protocol needs being dropped on a client's word", `
		a send raw "POST /alert/1 HTTP/1.1\r\n$FIdempotency-Key: k\r\nConnection: A, Req-Id, idempotency-key, Req-Deadline-Ms\r\nA: 1\r\nB: 2\r\nTE: trailers\r\nKeep-Alive: 5\r\nUpgrade: x\r\nProxy-Connection: x\r\nTrailer: C\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b;c\"\r\nhi\r\n0\r\nC: 3\r\n\r\n"
		r expect POST /alert/1 id=q key=k deadline=600 A= B=2 C= TE= Keep-Alive= Upgrade= Proxy-Connection= Trailer= Via= body=hi
		r send raw "HTTP/1.1 200 OK\r\nConnection: A\r\nA: 1\r\nB: 2\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
		a expect raw "HTTP/1.1 200 OK\r\nB: 2\r\n$DATE\r\nContent-Length: 2\r\n\r\nok"`},
	{"an answer without a date, without what its body is, or a text that says nothing of what it is", `
		a send ` + pay + `
		r expect POST /pay/1
		r send 200 body=ok
		a expect raw "HTTP/1.1 200 OK\r\n$DATE\r\nContent-Length: 2\r\n\r\nok"
		wait 1500
		a send ` + pay + `
		r expect POST /pay/1
		r send raw "HTTP/1.1 200 OK\r\ndate: Mon, 13 Nov 2023 22:13:20 GMT\r\nContent-Encoding: gzip\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 2\r\n\r\nok"
		a expect raw "HTTP/1.1 200 OK\r\ndate: Mon, 13 Nov 2023 22:13:20 GMT\r\nContent-Encoding: gzip\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 2\r\n\r\nok"
		a send POST /nothing
		a expect raw "HTTP/1.1 404 Not Found\r\n$TEXTDate: Tue, 14 Nov 2023 22:13:21 GMT\r\nContent-Length: 14\r\n\r\nunknown class\n"`},
	{"a host's connection used again after an answer that may have more behind it", `
		a send ` + pay + `
		r expect POST /pay/1
		r send raw "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
		a expect 502
		r expect close
		a send ` + pay + `
		r expect POST /pay/1
		r send raw "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n"
		a expect 502
		r expect close
		a send ` + pay + `
		r expect POST /pay/1
		r send raw "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		a expect raw "HTTP/1.1 200 OK\r\n$DATE\r\nContent-Length: 2\r\n\r\nok"`},
	{"an answer whose length is in doubt passed on", `
		a send ` + pay + `
		r expect POST /pay/1
		r send raw "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		a expect 502
		a send ` + pay + `
		r expect POST /pay/1
		r send raw "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok"
		a expect 502
		a send ` + pay + `
		r expect POST /pay/1
		r send raw "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: 1\r\n 2\r\n\r\nok"
		a expect 502`},
	{"an answer lost because bytes behind its request come to a closed connection", `
		a send raw "POST /pay/1 HTTP/1.1\r\n$FConnection: close\r\nContent-Length: 0\r\n\r\nGET /up HTTP/1.1\r\n"
		r expect POST /pay/1
		r send 200 body=ok
		a expect 200 body=ok Connection=close
		a send raw "\r\n"
		wait 499
		a send raw "GET"
		a send raw " /up"
		wait 1
		a expect close`},
}

func TestHTTP(t *testing.T) {
	for _, c := range httpScenarios {
		t.Run(c.guards, func(t *testing.T) {
			start(t, 1024, []string{"h1", "h2", "h3"}).Run(begin("h1", "h2", "h3") + abbreviations.Replace(c.steps))
		})
	}
}

// Guards against a Retry-After that client libraries which parse whole seconds reject or read as none.
func TestWholeSeconds(t *testing.T) {
	o := DefaultOptions()
	o.North.HTTP.RetryAfter = "whole"
	s, _ := startNode(t, Extras{Options: &o, First: stages(nil, nil)}, 1024, nil)
	s.Run(begin() + `
		a send POST /pay/1 id=turned-away deadline=900
		a expect 429 Retry-After=1`)
}
