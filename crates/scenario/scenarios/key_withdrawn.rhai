// A key is withdrawn while its caller is connected.
world(#{});
check(stream(0, "courier"), "a stream runs");
withdraw("courier");
wait(3000);
for node in 0..3 {
    check(ask(node, "courier", "hello") == "unauthorized", `n${node} refuses the key after 3 s`);
}
wait(1000);
figure("stream served after, ms", served_after());
check(served_after() <= 3000, "the stream ended within 3 s");
check(ask(0, "shop", "hello") == "ok", "other keys work");
