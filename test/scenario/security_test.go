package scenario

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"os"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/settings"
)

// connectTimeout bounds one connection attempt.
const connectTimeout = 5 * time.Second

// securityKey begins the security block, the last of the planned settings.
const securityKey = "security:\n"

// secure issues certificates of a directory's authority to instances and adds them to
// their settings: secure DIRECTORY INSTANCE|all ….
func secure(d *deployment, args []string) (string, error) {
	const least = 2
	if len(args) < least {
		return "", errUsage
	}
	names := args[1:]
	if names[0] == "all" {
		names = nil
		for name := range d.instances {
			names = append(names, name)
		}
	}
	command := []string{"lilacweir-standin", "certificates", d.file(args[0])}
	for _, name := range names {
		host, _, err := net.SplitHostPort(d.instances[name].Agent.Mesh)
		if err != nil {
			return "", fmt.Errorf("secure: %w", err)
		}
		command = append(command, name+"="+host)
		if err := d.nameCertificates(args[0], name); err != nil {
			return "", err
		}
	}
	return d.exec(command...)
}

// nameCertificates replaces the security block of an instance's settings.
func (d *deployment) nameCertificates(directory, name string) error {
	data, err := os.ReadFile(d.file(name + ".yaml"))
	if err != nil {
		return fmt.Errorf("secure: %w", err)
	}
	rest, _, found := strings.Cut(string(data), securityKey)
	if !found {
		return fmt.Errorf("secure: %w", errNoMatch)
	}
	security := d.material(directory, name)
	// Links to the stand-ins, callers and operators stay in plain text, which requires
	// this setting.
	rest += fmt.Sprintf("%s  plaintext_loopback: true\n  certificate: %s\n  key: %s\n  authority: %s\n", securityKey, security.Certificate, security.Key, security.Authority)
	if err := os.WriteFile(d.file(name+".yaml"), []byte(rest), 0o600); err != nil {
		return fmt.Errorf("secure: %w", err)
	}
	return nil
}

// encrypt configures TLS for an instance's callers and operators and for the key-value
// service, a key-value user with the password "right-password", and the operator's
// authority: encrypt DIRECTORY INSTANCE. The instance reads its password from the file
// "password".
func encrypt(d *deployment, args []string) (string, error) {
	const count = 2
	if len(args) != count || d.instances[args[1]] == nil {
		return "", errUsage
	}
	keyValue := d.instances[args[1]].Platform.KeyValue[0]
	host, _, err := net.SplitHostPort(keyValue)
	if err != nil {
		return "", fmt.Errorf("encrypt: %w", err)
	}
	own, platform := d.material(args[0], args[1]), d.material(args[0], "platform")
	pair := func(s settings.Security) string {
		return fmt.Sprintf("{certificate: %s, key: %s}", s.Certificate, s.Key)
	}
	access := fmt.Sprintf("{tls: {authority: %s}, user: lilacweir, password_file: %s}", own.Authority, d.file("password"))
	for _, edit := range []struct{ file, before, add string }{
		{args[1] + ".yaml", "gateway:\n", "  callers_tls: " + pair(own) + "\n"},
		{args[1] + ".yaml", "agent:\n", "  operators_tls: " + pair(own) + "\n"},
		{args[1] + ".yaml", "platform:\n", "  access: {key_value: " + access + "}\n"},
		{"standin.yaml", "  key_value:\n", "    tls: " + pair(platform) + "\n    users: {lilacweir: right-password}\n"},
		{"operator.yaml", "operator: eleni\n", "authority: " + own.Authority + "\n"},
	} {
		if err := d.edit(edit.file, edit.before, edit.add); err != nil {
			return "", err
		}
	}
	return d.exec("lilacweir-standin", "certificates", d.file(args[0]), "platform="+host)
}

// edit inserts text after the first occurrence of another in a settings file.
func (d *deployment) edit(file, behind, add string) error {
	data, err := os.ReadFile(d.file(file))
	if err != nil {
		return fmt.Errorf("edit: %w", err)
	}
	if !strings.Contains(string(data), behind) {
		return fmt.Errorf("edit %s: %w", file, errNoMatch)
	}
	text := strings.Replace(string(data), behind, behind+add, 1)
	if err := os.WriteFile(d.file(file), []byte(text), 0o600); err != nil {
		return fmt.Errorf("edit: %w", err)
	}
	return nil
}

func (d *deployment) material(directory, name string) settings.Security {
	path := d.file(directory) + "/"
	return settings.Security{Certificate: path + name + ".pem", Key: path + name + ".key", Authority: path + "authority.pem"}
}

// knock connects to an instance's listeners for other instances, with a certificate or
// in plain text, and prints which of them accept it: knock INSTANCE DIRECTORY NAME, or
// knock INSTANCE plain. It does not verify the instance's certificate.
func knock(d *deployment, args []string) (string, error) {
	const all = 3
	if len(args) < all-1 || d.instances[args[0]] == nil {
		return "", errUsage
	}
	dial := func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, connectTimeout) }
	if len(args) == all {
		security := d.material(args[1], args[2])
		certificate, err := tls.LoadX509KeyPair(security.Certificate, security.Key)
		if err != nil {
			return "", fmt.Errorf("knock: %w", err)
		}
		config := &tls.Config{Certificates: []tls.Certificate{certificate}, InsecureSkipVerify: true}
		dial = func(address string) (net.Conn, error) {
			return tls.DialWithDialer(&net.Dialer{Timeout: connectTimeout}, "tcp", address, config)
		}
	}
	var parts []string
	for _, listener := range []string{"peers", "control", "mesh"} {
		try := askService
		if listener == "peers" {
			try = askHealth
		}
		conn, err := dial(d.listeners(args[0])[listener])
		parts = append(parts, listener+"="+tryConnection(conn, err, try))
	}
	return strings.Join(parts, " "), nil
}

func tryConnection(conn net.Conn, err error, try func(net.Conn) bool) string {
	if err != nil {
		return "out"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(connectTimeout))
	if try(conn) {
		return "in"
	}
	return "out"
}

// askHealth returns whether an HTTP request is answered.
func askHealth(conn net.Conn) bool {
	_, err := io.WriteString(conn, "GET /healthz HTTP/1.0\r\n\r\n")
	answer, _ := io.ReadAll(conn)
	return err == nil && strings.Contains(string(answer), " 200 OK")
}

// askService returns whether a net/rpc call is answered, even with an error.
func askService(conn net.Conn) bool {
	err := rpc.NewClient(conn).Call("No.Service", 0, new(int))
	var refused rpc.ServerError
	return errors.As(err, &refused)
}
