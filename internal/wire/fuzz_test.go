package wire

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
)

// Guards against panics and against accepting datagrams that are too large or have no sender, which the engine does
// not check again.
func FuzzDecodeDatagram(f *testing.F) {
	for _, d := range []*Datagram{
		{},
		{From: "a", Kind: &Datagram_Ping{Ping: &Ping{Seq: 1}}},
		{From: "a", Updates: []*Member{{NodeId: "b", UdpAddr: "127.0.0.1:1"}}, Quarantine: []*QuarantineEntry{{}}},
	} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(make([]byte, MaxDatagramBytes+1))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDatagram(data)
		if err == nil && (d.From == "" || len(data) > MaxDatagramBytes) {
			t.Errorf("accepted %d bytes from %q", len(data), d.From)
		}
	})
}

// Guards against panics and against frames that change when they are encoded and decoded again.
func FuzzReadFrame(f *testing.F) {
	const limit = 4096
	for _, frame := range []*Frame{
		{Kind: &Frame_Chunk{Chunk: &Chunk{Data: []byte("body")}}},
		{Kind: &Frame_Request{Request: &RequestHead{Service: "katalog", ContentLength: -1}}},
	} {
		var buf bytes.Buffer
		if err := WriteFrame(&buf, frame, limit); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		var buf bytes.Buffer
		if err := WriteFrame(&buf, frame, 2*limit); err != nil {
			t.Fatalf("cannot write a frame that was read: %v", err)
		}
		decoded, err := ReadFrame(&buf, 2*limit)
		if err != nil || !proto.Equal(frame, decoded) {
			t.Errorf("round trip changed the frame: %v", err)
		}
	})
}

// Guards against a decoded frame that shares its bytes with a buffer that later frames reuse: the body of one response
// would then hold bytes of another.
func TestFramesDoNotShareBuffers(t *testing.T) {
	var stream bytes.Buffer
	bodies := [][]byte{bytes.Repeat([]byte("a"), 1000), bytes.Repeat([]byte("b"), 1000), bytes.Repeat([]byte("c"), 10)}
	for _, body := range bodies {
		if err := WriteFrame(&stream, &Frame{Kind: &Frame_Chunk{Chunk: &Chunk{Data: body}}}, MaxFrameBytes); err != nil {
			t.Fatal(err)
		}
	}
	var frames []*Frame
	for range bodies {
		f, err := ReadFrame(&stream, MaxFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		frames = append(frames, f)
	}
	for i, body := range bodies {
		if !bytes.Equal(frames[i].GetChunk().GetData(), body) {
			t.Errorf("frame %d changed after later frames were read", i)
		}
	}
}
