/** A disk for tests that refuses operations and loses power. */
package org.hemlockrack.consensus.disk;
