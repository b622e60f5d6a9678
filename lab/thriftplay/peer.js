// A client or a rater that speaks Thrift by the official library for Node.js (npm package "thrift"), by hand as in api/rating.thrift.
//
//   node peer.js client ADDRESS PROTOCOL TRANSPORT CALLS CONNECTIONS    prints {"calls","wrong","declined"}
//   node peer.js rater PROTOCOL TRANSPORT                               prints its port, and {"twice"} when its input ends
"use strict";
const thrift = require("thrift");
const T = thrift.Thrift.Type;
const Kind = thrift.Thrift.MessageType;
const method = "postCharge";

const protocols = {binary: thrift.TBinaryProtocol, compact: thrift.TCompactProtocol};
const transports = {framed: thrift.TFramedTransport, unframed: thrift.TBufferedTransport};

function fields(input, field) {
  input.readStructBegin();
  for (;;) {
    const f = input.readFieldBegin();
    if (f.ftype === T.STOP) break;
    if (!field(f.ftype, f.fid)) input.skip(f.ftype);
    input.readFieldEnd();
  }
  input.readStructEnd();
}

function text(output, id, value) {
  output.writeFieldBegin("", T.STRING, id);
  output.writeString(value);
  output.writeFieldEnd();
}

// Client has the shape of those that the compiler makes.
class Client {
  constructor(output, pClass) {
    this.output = output;
    this.pClass = pClass;
    this._seqid = 0;
    this._reqs = {};
  }
  seqid() {
    return this._seqid;
  }
  call(id, body, done) {
    this._seqid++;
    this._reqs[this._seqid] = done;
    const output = new this.pClass(this.output);
    output.writeMessageBegin(method, Kind.CALL, this._seqid);
    output.writeStructBegin("");
    output.writeFieldBegin("", T.STRUCT, 1);
    output.writeStructBegin("");
    text(output, 1, id);
    output.writeFieldBegin("", T.I32, 2);
    output.writeI32(2000);
    output.writeFieldEnd();
    text(output, 3, "t");
    output.writeFieldStop();
    output.writeStructEnd();
    output.writeFieldEnd();
    text(output, 2, body);
    output.writeFieldStop();
    output.writeStructEnd();
    output.writeMessageEnd();
    this.output.flush();
  }
  recv_postCharge(input, kind, seqid) {
    const done = this._reqs[seqid] || (() => {});
    delete this._reqs[seqid];
    if (kind === Kind.EXCEPTION) {
      const x = new thrift.Thrift.TApplicationException();
      x.read(input);
      input.readMessageEnd();
      return done(x);
    }
    const result = {};
    fields(input, (type, id) => {
      if (id === 0 && type === T.STRING) {
        result.value = input.readString();
        return true;
      }
      result.declined = result.declined || id === 1;
      return false;
    });
    input.readMessageEnd();
    done(null, result);
  }
}

function client(address, protocol, transport, calls, connections) {
  const [host, port] = address.split(":");
  const tally = {calls: 0, wrong: 0, declined: 0};
  let next = 0;
  let open = connections;
  for (let i = 0; i < connections; i++) {
    const connection = thrift.createConnection(host, Number(port), {protocol: protocols[protocol], transport: transports[transport]});
    const one = thrift.createClient(Client, connection);
    let over = false;
    const end = () => {
      if (over) return;
      over = true;
      connection.end();
      if (--open === 0) console.log(JSON.stringify(tally));
    };
    connection.on("error", () => {
      tally.wrong++;
      end();
    });
    const more = () => {
      const n = ++next;
      if (n > calls) return end();
      const body = "record " + n;
      one.call(String(n), body, (err, result) => {
        tally.calls++;
        if (!err && result.declined) tally.declined++;
        else if (err || result.value !== body) tally.wrong++;
        more();
      });
    };
    connection.on("connect", more);
  }
}

function rater(protocol, transport) {
  const heard = new Map();
  const processor = {
    process(input, output) {
      const head = input.readMessageBegin();
      let id = "", body = "";
      fields(input, (type, fid) => {
        if (fid === 2 && type === T.STRING) {
          body = input.readString();
          return true;
        }
        if (fid !== 1 || type !== T.STRUCT) return false;
        fields(input, (type, fid) => {
          if (fid !== 1 || type !== T.STRING) return false;
          id = input.readString();
          return true;
        });
        return true;
      });
      input.readMessageEnd();
      heard.set(id, (heard.get(id) || 0) + 1);
      output.writeMessageBegin(head.fname, Kind.REPLY, head.rseqid);
      output.writeStructBegin("");
      text(output, 0, body);
      output.writeFieldStop();
      output.writeStructEnd();
      output.writeMessageEnd();
      output.flush();
    },
  };
  const server = thrift.createMultiplexServer(processor, {protocol: protocols[protocol], transport: transports[transport]});
  server.on("error", () => {});
  server.listen(0, "127.0.0.1", () => console.log(server.address().port));
  process.stdin.resume();
  process.stdin.on("end", () => {
    let twice = 0;
    for (const n of heard.values()) if (n > 1) twice++;
    console.log(JSON.stringify({twice}));
    process.exit(0);
  });
}

const [role, ...rest] = process.argv.slice(2);
if (role === "client") client(rest[0], rest[1], rest[2], Number(rest[3]), Number(rest[4]));
else rater(rest[0], rest[1]);
