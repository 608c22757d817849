/** Settings of one daemon: a TOML file that is validated before the daemon starts. */
@NullMarked
package org.hemlockrack.daemon.settings;

import org.jspecify.annotations.NullMarked;
