use super::*;

#[test]
fn a_script_is_read_line_by_line_and_a_wrong_one_named() {
    let text = "# remark\nat 2.5s: kill c2\non tool tool.ran call=a/0: cut c2 *\nwait c1 view.change peer=c2 to=dead\nheal\n";
    let script = read(text).unwrap();
    let pattern = |words: &[&str]| Pattern::read(words).unwrap();
    assert_eq!(
        script,
        [
            Line::At(Duration::from_millis(2500), Command::Kill("c2".into())),
            Line::On(
                pattern(&["tool", "tool.ran", "call=a/0"]),
                Command::Cut("c2".into(), "*".into(), false)
            ),
            Line::Wait(pattern(&["c1", "view.change", "peer=c2", "to=dead"])),
            Line::Now(Command::Heal),
        ]
    );
    for wrong in [
        "kil c2",
        "at 2: heal",
        "on tool: heal",
        "wait c1",
        "loss much",
        "cut a b c d",
    ] {
        assert_eq!(
            read(wrong).unwrap_err().to_string(),
            format!("no command: {wrong:?}")
        );
    }
}
