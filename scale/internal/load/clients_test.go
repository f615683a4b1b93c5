package load

import (
	"io"
	"net"
	"testing"

	"sparspread/internal/resp"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
)

// answerOnce starts a server that answers the first command on its first connection with the given text. It
// then closes the connection if closes is true, and otherwise waits until the client closes it.
func answerOnce(t *testing.T, answer string, closes bool) (address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := resp.NewReader(conn)
		if _, err := in.ReadCommand(); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
		if !closes {
			_, _ = in.ReadCommand()
		}
	}()
	return listener.Addr().String()
}

// Guards against faulty answers that are counted as served, such as a second answer or a value that no
// backend returned.
func TestClientsCountAnswersByKind(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		closes       bool
		count        func(results.Answers) int
	}{
		{"two answers", "-BUSY\r\n-BUSY\r\n", false, func(a results.Answers) int { return a.ExtraBytes }},
		{"truncated answer", "$18\r\n00000", true, func(a results.Answers) int { return a.Disconnected }},
		{"unknown value", "$5\r\nhello\r\n", false, func(a results.Answers) int { return a.WrongValue }},
		{
			"value of another request", "$18\r\n0000000000000002 1\r\n", false,
			func(a results.Answers) int { return a.WrongValue },
		},
		{"null", "$-1\r\n", false, func(a results.Answers) int { return a.Failed }},
		{"rejected", "-BUSY 100\r\n", false, func(a results.Answers) int { return a.Rejected }},
		{
			"value of a backend", "$18\r\n0000000000000001 1\r\n", false,
			func(a results.Answers) int { return a.Served },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			clients := NewClients(answerOnce(t, c.answer, c.closes), model.Demand{})
			clients.sendRequest(t.Context(), 1, readCommand(model.Customer{ID: 7, Replicas: 1}, 1))
			clients.closeIdle()
			if got := clients.Answers(); c.count(got) != 1 || got.Sent != 1 {
				t.Errorf("counts %+v, want 1 request sent and counted by its kind", got)
			}
		})
	}
}
