/** Settings of one daemon: a TOML file that is checked whole before the daemon starts. */
@NullMarked
package org.hemlockrack.daemon.settings;

import org.jspecify.annotations.NullMarked;
