mod engines;
use engines::*;
use std::time::Duration;
use catkinusher_core::fleet::Policy;
#[test]
fn trial() {
    let ms=Duration::from_millis;
    let base=Policy::default();
    let vars: Vec<(String,Policy)> = vec![
      ("part=300,fill=0.72,hold=700".into(), Policy{part:ms(300),fill:0.72,hold:ms(700),..base.clone()}),
      ("part=300,fill=0.8,hold=700,long=110".into(), Policy{part:ms(300),fill:0.8,hold:ms(700),long:ms(110),..base.clone()}),
      ("part=300,fill=0.72,hold=700,long=110".into(), Policy{part:ms(300),fill:0.72,hold:ms(700),long:ms(110),..base.clone()}),
      ("part=300,fill=0.65,hold=700,long=100".into(), Policy{part:ms(300),fill:0.65,hold:ms(700),long:ms(100),..base.clone()}),
      ("part=300,fill=0.72,hold=700,long=80".into(), Policy{part:ms(300),fill:0.72,hold:ms(700),long:ms(80),..base.clone()}),
      ("part=300,fill=0.72,hold=700,long=125".into(), Policy{part:ms(300),fill:0.72,hold:ms(700),long:ms(125),..base.clone()}),
      ("part=300,fill=0.72,hold=1000,long=110,together=6".into(), Policy{part:ms(300),fill:0.72,hold:ms(1000),long:ms(110),together:6,..base.clone()}),
    ];
    std::thread::scope(|sc| { let hs: Vec<_> = vars.iter().map(|(n,pol)| sc.spawn(move || {
      let mut out=format!("{n:14}");
      for (m, mix) in [("burst", Mix{short:12.0,letter:2.7,catalogue:2.3}),("day",Mix{short:35.0,letter:2.6,catalogue:1.06}),("shorts",Mix{short:85.0,letter:1.2,catalogue:0.06}),("heavy",Mix{short:17.0,letter:3.6,catalogue:3.2})] {
        let o = (1..5).map(|s| play_by(pol, mix, Choice::Fleet, s)).fold(Outcome::default(), Outcome::join);
        out+=&format!(" | {m} V {:.3} D {:.3} ({}/{}) C {:.3} ({}/{})", o.short.share(), o.letter.share(), o.letter.slow,o.letter.paused, o.catalogue.share(), o.catalogue.slow,o.catalogue.paused);
      } out })).collect(); for h in hs { println!("{}", h.join().unwrap()); } });
}
